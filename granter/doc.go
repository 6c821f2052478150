// Package granter divides the slots of one backend server among the entries.
//
// An entry starts a task only on a slot granted to it before, so that a start
// is never refused for want of room. A free slot goes to the entry with the
// largest unmet demand; with no demand the idle slots are spread evenly, so
// that a lone job starts without asking. Unused grants are recalled only when
// another entry has unmet demand.
//
// The package decides only: it does no I/O and has no clock.
package granter
