// Package leaser decides how the runs of one backend server are kept: which
// calls are made to start, hold and stop them, and what their answers prove.
//
// Everything that runs on such a backend server holds a lease, which ends by
// itself unless it is renewed by a hold. A hold also tells what runs and what
// has ended. A call without an answer may be carried out seconds later. Three
// rules keep a late one harmless:
//
//  1. Every call carries a fencing token. When a start is not answered in time
//     the token is raised, and a hold with the new token is sent. Once that is
//     answered no older call can act any more, and its lists tell whether the
//     start did.
//
//  2. Until then the start counts as running, so that the backend server is
//     never given more than it has room for.
//
//  3. After a start of this process or of the backend server nothing is known:
//     nothing is started before a hold with a raised token was answered and
//     everything that it showed has been stopped and has ended. A start that
//     was in doubt then stays so until that look.
//
//  4. Leases are renewed for the whole backend server at once. They are not
//     renewed while an owner of something there is suspected to be gone, nor
//     while a stop has no effect: what should not run then ends by itself
//     before its owner's caller sends it again, whatever becomes of the stops.
//
// The package decides only: it does no I/O and has no clock.
package leaser
