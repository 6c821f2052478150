/*
 * The core protocol: one ticket, its owner, its backup and the agents. The names
 * in this model call the backup "witness", the start records "marks", the membership
 * "roster", the agreement on the final state of a failed job "settle", and a report
 * that a task may have run "doubt". An owner that hands its job over "surrenders".
 *
 * Channels lose, duplicate and reorder messages: a message is a bit in a set and
 * is never cleared while its sender or receiver lives, so that it may be received
 * any number of times, in any order, or never. Any process may pause for a while,
 * or for ever, which models its crash: it takes no further step. Other processes
 * detect that an agent is permanently lost, by its new incarnation or by a closed
 * session, so this is a state of the model. The backup may suspect a healthy
 * owner: it may seal at any time.
 *
 * Each guard of the protocol can be removed by a define, -DNO_..., and the checker
 * must then find a counterexample.
 */
#ifndef TASKS
#define TASKS 2
#endif
#ifndef AGENTS
#define AGENTS 2
#endif
#define NOBODY 9
#define OWNER 0
#define WITNESS 1

/* States of a task at the owner or at the backup. */
#define PENDING 0
#define SENT 1
#define RAN 2
#define UNKNOWN 3

/* Start records at an agent: what it knows of a task. */
#define NONE 0
#define STARTED 1
#define REFUSED 2

/* States of the job and of its answer. */
#define RUNNING 0
#define COMPLETE 1
#define FAILED 2

typedef PerTask { byte v[TASKS] }
typedef PerTaskBit { bool v[TASKS] }

/* Conditions over all tasks or agents, for one or two of them. */
#define OWNER_ALL_RAN (oState[0] == RAN && oState[TASKS-1] == RAN)
#define OWNER_NONE_SENT (oState[0] != SENT && oState[TASKS-1] != SENT)
#define WITNESS_ALL_RAN (wState[0] == RAN && wState[TASKS-1] == RAN)
#define SEAL_OVER (wSealState[0] != 0 && wSealState[AGENTS-1] != 0)
#define SEAL_LACKING (wSealState[0] == 2 || wSealState[AGENTS-1] == 2)

/* The guards that a mutant removes. */
#ifdef NO_ROSTER
#define USABLE(a) true
#else
#define USABLE(a) oUsable[a]
#endif
#ifdef NO_ACK_STOPS
#define MAY_ACK true
#else
#define MAY_ACK (!wSealed)
#endif
#ifdef NO_SETTLE
#define AGREED true
#else
#define AGREED mSettleAck
#endif
#ifdef NO_SETTLED_MEMORY
#define MAY_TAKE_OVER true
#else
#define MAY_TAKE_OVER (!wSettled)
#endif
#ifdef NO_SEAL
#define REFUSES(a, fromOwner) false
#else
#define REFUSES(a, fromOwner) (fromOwner && aSealed[a])
#endif
#ifdef NO_START_ONCE
#define REPEAT(t) starts[t]++
#else
#define REPEAT(t) skip
#endif
#ifdef NO_REFUSAL_MEMORY
#define AGAIN(a, t) aMark[a].v[t] = STARTED; starts[t]++
#else
#define AGAIN(a, t) skip
#endif
#ifdef NO_SENT_STAYS
#define MAY_REBIND true
#else
#define MAY_REBIND false
#endif
#ifdef NO_SETTLE_SEALED
#define MAY_SETTLE true
#else
#define MAY_SETTLE (!wSealed)
#endif
#ifdef NO_SEAL_WAIT
#define MAY_GIVE_UP false
#else
#define MAY_GIVE_UP true
#endif
#ifdef NO_DEADLINE
#define DEADLINE false
#else
#define DEADLINE true
#endif
/* The refusal of a start for a closed ticket does not imply that the task was not
 * started: the agent may have removed its start record. */
#ifdef NO_CLOSED_DOUBT
#define SHUT_OUT(refusal, a, t) refusal[a].v[t] = true
#else
#define SHUT_OUT(refusal, a, t) mShut[a].v[t] = true
#endif
#ifdef NO_ALL_ANSWER
#define MUST_DOUBT wClosed
#else
#define MUST_DOUBT (SEAL_LACKING || wClosed)
#endif
#ifdef NO_CLOSED_REPORT
#define CLOSED_REPORT(a) false
#else
#define CLOSED_REPORT(a) aClosed[a]
#endif
#ifdef NO_CLOSED_REFUSAL
#define SHUT(a) false
#else
#define SHUT(a) aClosed[a]
#endif

/* The actual starts and reports, used by the properties only. */
byte starts[TASKS];
bool saidNotRun[TASKS];     /* the owner or the backup reported not-run to a caller */

/* Owner. */
byte oState[TASKS];
byte oAgent[TASKS];
byte oAnswer = RUNNING;
bool oStopping = false;     /* cancelled, past its deadline, or a task is unknown */
bool oSettling = false;
bool oSurrendered = false;
bool oUsable[AGENTS];       /* the backup has acknowledged the agent */

/* Backup. */
bool wMember[AGENTS];       /* the agent is acknowledged to the owner */
bool wSealed = false;
bool wSettled = false;      /* it agreed to the owner's failed answer */
bool wAsked = false;        /* it received a caller's submission */
bool wReady = false;
bool wClosed = false;       /* an agent may have removed start records */
byte wSealState[AGENTS];    /* 0 waiting, 1 answered, 2 no answer in time */
byte wState[TASKS];
byte wAgent[TASKS];
byte wAnswer = RUNNING;

/* Agents. Each may crash; a restarted agent is another incarnation, which is not
 * modelled. */
bool agentUp[AGENTS];
bool aSealed[AGENTS];
bool aClosed[AGENTS];       /* the ticket is closed and its start records are removed */
PerTask aMark[AGENTS];

/* Messages in transit, as sets. */
PerTaskBit mStart[AGENTS];      /* owner to agent */
PerTaskBit mStartW[AGENTS];     /* backup to agent */
PerTaskBit mRefuse[AGENTS];     /* agent to owner */
PerTaskBit mRefuseW[AGENTS];
PerTaskBit mShut[AGENTS];       /* agent to both: refused because the ticket is closed */
PerTaskBit mResult[AGENTS];     /* agent to owner */
PerTaskBit mResultW[AGENTS];    /* agent to backup */
bool mRoster[AGENTS];
bool mRosterAck[AGENTS];
bool mSeal[AGENTS];
bool mMarks[AGENTS];
PerTask mMarkOf[AGENTS];        /* start records in mMarks */
bool mMarkClosed[AGENTS];
bool mClose = false;
bool mSettle = false;
bool mSettleAck = false;
bool mSettleNack = false;

/* An agent receives a start of task t. */
#define RECEIVE(a, t, fromOwner, refusal) \
	if \
	:: aMark[a].v[t] == STARTED -> REPEAT(t) \
	:: aMark[a].v[t] == REFUSED -> AGAIN(a, t) \
	:: aMark[a].v[t] == NONE && SHUT(a) -> SHUT_OUT(refusal, a, t) \
	:: aMark[a].v[t] == NONE && !SHUT(a) && REFUSES(a, fromOwner) -> refusal[a].v[t] = true \
	:: aMark[a].v[t] == NONE && !SHUT(a) && !REFUSES(a, fromOwner) -> aMark[a].v[t] = STARTED; starts[t]++ \
	:: aMark[a].v[t] == NONE && !SHUT(a) && !REFUSES(a, fromOwner) -> aMark[a].v[t] = REFUSED; refusal[a].v[t] = true \
	fi

#define O_OPEN (oAnswer == RUNNING && !oSurrendered)

/* Rule 3: send a pending task only to an agent that the backup has acknowledged. */
#define BIND(t, a) \
	:: atomic { O_OPEN && !oStopping && oState[t] == PENDING && !mStart[a].v[t] && USABLE(a) -> \
		oState[t] = SENT; oAgent[t] = a; mStart[a].v[t] = true }

/* Rule 2: a sent task is sent to another agent only after a refusal. */
#define HEAR(t, a) \
	:: atomic { O_OPEN && oState[t] == SENT && oAgent[t] == a && mResult[a].v[t] -> oState[t] = RAN } \
	:: atomic { O_OPEN && oState[t] == SENT && oAgent[t] == a && mRefuse[a].v[t] -> oState[t] = PENDING; oAgent[t] = NOBODY } \
	:: atomic { O_OPEN && oState[t] == SENT && oAgent[t] == a && (!agentUp[a] || mShut[a].v[t]) -> oState[t] = UNKNOWN; oStopping = true } \
	:: atomic { O_OPEN && oState[t] == SENT && oAgent[t] == a && MAY_REBIND -> oState[t] = PENDING; oAgent[t] = NOBODY }

/* A refusal informs the owner that it is sealed. The owner then hands the job over
 * to the backup. */
#define LEARN(t, a) \
	:: atomic { O_OPEN && oState[t] == SENT && oAgent[t] == a && mRefuse[a].v[t] && aSealed[a] -> oSurrendered = true }

#define ROSTER(a) \
	:: atomic { agentUp[a] && !mRoster[a] -> mRoster[a] = true } \
	:: atomic { mRosterAck[a] && !oUsable[a] -> oUsable[a] = true }

active proctype Owner() {
	do
	ROSTER(0)
	BIND(0, 0)
	HEAR(0, 0)
	LEARN(0, 0)
#if TASKS > 1
	BIND(1, 0)
	HEAR(1, 0)
	LEARN(1, 0)
#endif
#if AGENTS > 1
	ROSTER(1)
	BIND(0, 1)
	HEAR(0, 1)
	LEARN(0, 1)
#if TASKS > 1
	BIND(1, 1)
	HEAR(1, 1)
	LEARN(1, 1)
#endif
#endif
	/* The caller cancels, or the deadline passes: tasks that were sent are unknown. */
	:: atomic { O_OPEN && !oStopping && DEADLINE -> oStopping = true }
	:: atomic { O_OPEN && oStopping && !oSettling && oState[0] == SENT -> oState[0] = UNKNOWN; oAgent[0] = NOBODY }
	:: atomic { O_OPEN && oStopping && !oSettling && oState[TASKS-1] == SENT -> oState[TASKS-1] = UNKNOWN; oAgent[TASKS-1] = NOBODY }

	/* All tasks ran: a complete answer. */
	:: atomic { O_OPEN && OWNER_ALL_RAN -> oAnswer = COMPLETE }

	/* Rule 6: a failed answer that reports a task as not-run needs the agreement of
	 * the backup. */
	:: atomic { O_OPEN && oStopping && !oSettling && OWNER_NONE_SENT -> oSettling = true; mSettle = true }
	:: atomic { O_OPEN && oSettling && AGREED -> oAnswer = FAILED;
		saidNotRun[0] = saidNotRun[0] || oState[0] == PENDING;
		saidNotRun[TASKS-1] = saidNotRun[TASKS-1] || oState[TASKS-1] == PENDING }
	:: atomic { O_OPEN && oSettling && mSettleNack -> oSurrendered = true }
	/* The ticket has expired and the answer's retention period has ended. */
	:: atomic { oAnswer != RUNNING && !mClose -> mClose = true }
	/* The backup is unresponsive: pending tasks are reported as unknown. */
	:: atomic { O_OPEN && oSettling -> oAnswer = FAILED }
	od
}

/* Rule 3: the backup acknowledges no agent after it has sealed. */
#define ACKNOWLEDGE(a) \
	:: atomic { mRoster[a] && !wMember[a] && MAY_ACK -> wMember[a] = true; mRosterAck[a] = true }

/* The backup receives an agent's start records, or stops waiting for the agent. */
#define REPORTED(a, t) \
	if \
	:: mMarkOf[a].v[t] == STARTED -> wState[t] = SENT; wAgent[t] = a \
	:: else \
	fi
#define MARKS(a) \
	:: atomic { wAsked && !wReady && wSealState[a] == 0 && mMarks[a] -> \
		wSealState[a] = 1; wClosed = wClosed || mMarkClosed[a]; REPORTED(a, 0); REPORTED(a, TASKS-1) } \
	:: atomic { wAsked && !wReady && wSealState[a] == 0 && MAY_GIVE_UP -> wSealState[a] = 2 }

/* Rule 4: seal the owner at each agent that was acknowledged. */
#define SEAL(a) \
	if \
	:: wMember[a] -> mSeal[a] = true \
	:: else -> wSealState[a] = 1 \
	fi

#define DOUBT(t) \
	if \
	:: wState[t] == PENDING && MUST_DOUBT -> wState[t] = UNKNOWN \
	:: else \
	fi

#define W_OPEN (wReady && wAnswer == RUNNING)

/* The backup continues the job on any agent. */
#define GO_ON(t, a) \
	:: atomic { W_OPEN && wState[t] == PENDING && !mStartW[a].v[t] && agentUp[a] -> \
		wState[t] = SENT; wAgent[t] = a; mStartW[a].v[t] = true } \
	:: atomic { W_OPEN && wState[t] == SENT && wAgent[t] == a && mResultW[a].v[t] -> wState[t] = RAN } \
	:: atomic { W_OPEN && wState[t] == SENT && wAgent[t] == a && mRefuseW[a].v[t] -> wState[t] = PENDING; wAgent[t] = NOBODY } \
	:: atomic { W_OPEN && wState[t] == SENT && wAgent[t] == a && (!agentUp[a] || mShut[a].v[t]) -> wState[t] = UNKNOWN }

active proctype Witness() {
	do
	ACKNOWLEDGE(0)
	MARKS(0)
	GO_ON(0, 0)
#if TASKS > 1
	GO_ON(1, 0)
#endif
#if AGENTS > 1
	ACKNOWLEDGE(1)
	MARKS(1)
	GO_ON(0, 1)
#if TASKS > 1
	GO_ON(1, 1)
#endif
#endif
	/* Rule 6: the backup agrees to no failed answer after it has sealed. */
	:: atomic { mSettle && !wSettled && MAY_SETTLE -> wSettled = true; mSettleAck = true }
	:: atomic { mSettle && wSealed && !mSettleNack -> mSettleNack = true }

	/* Rule 4: the backup receives a submission and suspects the owner to be lost. */
	:: atomic { !wAsked && MAY_TAKE_OVER -> wAsked = true; wSealed = true;
		SEAL(0);
		SEAL(AGENTS-1) }

	/* Rule 5: a task without a start record is unknown unless every agent answered. */
	:: atomic { wAsked && !wReady && SEAL_OVER -> wReady = true;
		DOUBT(0);
		DOUBT(TASKS-1) }

	:: atomic { W_OPEN && WITNESS_ALL_RAN -> wAnswer = COMPLETE }
	/* The deadline passes at the backup: it reports pending tasks as not-run and
	 * sent tasks as unknown. */
	:: atomic { W_OPEN -> wAnswer = FAILED;
		saidNotRun[0] = saidNotRun[0] || wState[0] == PENDING;
		saidNotRun[TASKS-1] = saidNotRun[TASKS-1] || wState[TASKS-1] == PENDING }
	od
}

#define RUN(t) \
	:: atomic { agentUp[a] && mStart[a].v[t] -> RECEIVE(a, t, true, mRefuse) } \
	:: atomic { agentUp[a] && mStartW[a].v[t] -> RECEIVE(a, t, false, mRefuseW) } \
	:: atomic { agentUp[a] && aMark[a].v[t] == STARTED && !mResult[a].v[t] -> mResult[a].v[t] = true; mResultW[a].v[t] = true }

proctype Agent(byte a) {
	do
	:: atomic { agentUp[a] -> agentUp[a] = false; break }
	RUN(0)
#if TASKS > 1
	RUN(1)
#endif
	:: atomic { agentUp[a] && mSeal[a] && !aSealed[a] -> aSealed[a] = true;
		mMarkOf[a].v[0] = aMark[a].v[0];
		mMarkOf[a].v[TASKS-1] = aMark[a].v[TASKS-1];
		mMarkClosed[a] = CLOSED_REPORT(a);
		mMarks[a] = true }
	:: atomic { agentUp[a] && mClose && !aClosed[a] -> aClosed[a] = true;
		aMark[a].v[0] = NONE;
		aMark[a].v[TASKS-1] = NONE }
	od
}

/* The guarantees, checked in every state: a task is started at most once, a task
 * reported as not-run was not and will not be started, and a complete answer means
 * that each task was started exactly once. */
#define KEPT(t) (starts[t] <= 1 && !(saidNotRun[t] && starts[t] > 0))
#define ANY_COMPLETE (oAnswer == COMPLETE || wAnswer == COMPLETE)
#define WHOLE (!ANY_COMPLETE || (starts[0] == 1 && starts[TASKS-1] == 1))

/* Every job ends: each step above only adds to the state, so every execution
 * reaches a state without a further step, and in it the job must be answered. A
 * process that pauses for ever is covered as the prefix of an execution. That the
 * others continue without it is checked by the crash of agents and by the backup's
 * suspicion of the owner. */
#define ENDED (oAnswer != RUNNING || (oSurrendered && wAnswer != RUNNING))

active proctype Monitor() {
	do
	:: atomic { !(KEPT(0) && KEPT(TASKS-1) && WHOLE) -> assert(false) }
	:: timeout -> assert(ENDED)
	od
}

init {
	atomic {
		agentUp[0] = true;
		agentUp[AGENTS-1] = true;
		run Agent(0);
#if AGENTS > 1
		run Agent(1);
#endif
	}
}
