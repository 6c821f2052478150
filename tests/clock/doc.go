// Package clock tests the timeouts of sessions on the fake clock of synctest.
//
// It has one test, which may run only once per process (-count=1): the JSON-RPC
// library keeps channels in a pool, and a channel that was created in a synctest
// bubble must not be used outside of it.
package clock
