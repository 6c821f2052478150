// Package leaser decides which calls start, stop and renew the runs on one
// backend server, and what the answers to those calls prove.
//
// Every run on such a backend server holds a lease and ends when its lease
// expires. A renewal extends the leases; its answer lists the active runs and
// those that have ended. A call without an answer may still be executed seconds
// later. Four rules make such a late call harmless:
//
//  1. Every call carries a fencing token. When a start or a renewal is not answered
//     in time, the token is raised and a renewal with the new token is sent. Once
//     that renewal is answered, the backend server rejects all calls with an older
//     token, the lists in the answer show whether the run was started, and no
//     lease lasts longer than the longest from then.
//
//  2. Until then the start counts as a run, so that the backend server is never
//     given more runs than it has capacity for.
//
//  3. After a restart of this process or of the backend server the set of runs
//     is unknown. Nothing is started until a reconciliation call with a raised
//     token has been answered and every unknown run that it listed has been
//     stopped and has ended. A start that was unconfirmed before the restart
//     stays unconfirmed until that answer.
//
//  4. Leases are renewed for the whole backend server at once. None is extended
//     beyond a fixed time after the last contact with each owner of a run there,
//     nor while a stop has no effect, and nothing is started for an owner whose
//     last contact is too old. A run that should not continue then ends by lease
//     expiry before the caller submits its job again, even if all stops are
//     lost, and however late this process decides.
//
//  5. What is known of one incarnation of the backend server is not applied to
//     another. Answers, reports and lease ends of an earlier one may arrive late,
//     and the answer to a start or a stop does not say which one gave it.
//
// The package only makes decisions: it does no I/O and reads no clock.
package leaser
