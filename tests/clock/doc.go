// Package clock tests the timing of sessions on the runtime's paused clock. It
// has one test, to be run once a program (-count=1): the JSON-RPC library keeps
// channels in a pool, and one made in a
// synctest bubble must not be met outside it.
package clock
