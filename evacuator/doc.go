// Package evacuator holds what a process knows of evacuated availability zones.
// On the servers of an evacuated zone nothing is started until the operator
// withdraws the evacuation.
//
// Operators request an evacuation by a row of the store. The store orders all its
// changes by version, so which of two statements about a zone is newer is decided by
// their versions, whatever the order in which they arrive and whoever passes them on.
// A State merges statements; merging is commutative, associative and idempotent, so
// processes that exchange their states agree. The package does no I/O.
package evacuator
