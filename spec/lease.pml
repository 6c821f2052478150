/*
 * Leases and fencing tokens at one backend server: an agent that may be replaced,
 * a backend server that may restart, and starts that may be executed at any later
 * time or never. There is one task; "other" is a run of it on another backend
 * server, which the entry starts after the agent has reported that the task does
 * not run on this one. The names call a fencing token "fence", an incarnation of
 * the backend server "life", a restarted one "reborn", a renewal "hold" and a
 * reconciliation "look".
 *
 * Answers and status reports may arrive after the backend server has restarted, and
 * after the agent knows the next incarnation; a report may also come from another writer,
 * and takes effect only if the answer to a probe names the same incarnation. Only lists of
 * runs, probes and reports name their incarnation; the answer to a start does not. A call that was made to an earlier
 * incarnation is executed by the present one, or answered with status 421 ("wrong").
 *
 * Property: the task never runs here and on another backend server at the same
 * time.
 *
 * A new process of the agent starts from a low token, as if its clock had been set
 * back permanently. If the backend server restarts as well, no process knows the
 * earlier tokens. That case relies on the wall clock and is not modelled.
 *
 * The model has no lease expiry: the code computes from clocks how long to wait for
 * it (package leaser, coordinator.Settings.LeaseExpiryWait). Here a run continues
 * until it is stopped.
 */

#ifndef ORDERS
#define ORDERS 3 /* starts that may be in transit at the same time */
#endif
#define RESTARTS 2 /* restarts of the agent */
#define CRASHES 2  /* restarts of the backend server */
#define RAISES 3   /* increments of the token by one incarnation of the agent */
#define LEAP 4     /* increment of the token that exceeds RAISES */

#ifdef NO_RAISE
#define RAISE skip
#else
#define RAISE afence++
#endif
#ifdef NO_KNOWN
#define KNOWN skip
#else
#define KNOWN fresh = false
#endif
/* A restart ends a run that the earlier incarnation is known to have executed. */
#ifdef NO_STARTED_BY
#define ENDS_WITH_LIFE started
#else
#define ENDS_WITH_LIFE (started && listed)
#endif
#ifdef NO_REBORN_DOUBT
#define REBORN_DOUBT starting = false; bound = false
#else
#define REBORN_DOUBT unconfirmed = true
#endif
/* Late answers and reports that describe an earlier incarnation than the known one. */
#ifdef NO_ORIGIN
#define EARLIER_ANSWER reset(holdLife)
#else
#define EARLIER_ANSWER skip
#endif
#ifdef NO_ORIGIN_WRONG
#define EARLIER_WRONG reset(UNKNOWN)
#else
#define EARLIER_WRONG skip
#endif
#ifdef NO_PROBE_ORDER
#define PROBE_COUNTS true
#else
#define PROBE_COUNTS probeValid
#endif
#ifdef NO_KNOWN_SINCE
#define KNOWN_SINCE skip
#else
#define KNOWN_SINCE probeValid = false
#endif
#define FOREIGN 8 /* incarnation in reports of other writers, which is never present */
#define UNKNOWN 9 /* incarnation after status 421 */

/* The backend server. */
bool running;
byte runOf; /* the start that the run comes from */
byte xfence;
byte life;
byte crashes;

/* Starts in transit. */
bool sent[ORDERS];
byte fenceOf[ORDERS];

/* The agent. */
byte afence = 1;
byte knownLife;
byte replaced; /* the incarnation known before; used while knownLife is UNKNOWN */
bool clean;    /* reconciled with this incarnation of the backend server */
bool starting; /* a start was sent, and its outcome is unknown */
bool unconfirmed; /* its answer no longer counts */
bool started;  /* a start was confirmed, by its answer or by a list of runs */
bool listed;   /* a list of the known incarnation has shown its run */
byte newest;   /* the newest start */
bool answered; /* the answer to the newest start is in transit */
bool leapt;    /* the token exceeds those of all earlier incarnations of the agent */
byte raises;
byte restarts;

byte startFence; /* token of the unconfirmed start, or of the run */

/* A renewal that the backend server has answered; the answer is in transit. */
bool pending;
bool wrong;      /* the answer is status 421 */
byte callLife;   /* incarnation that the call was made to */
bool shown;      /* the answer lists the newest run */
bool fresh;      /* the call was sent after a run was last listed */
byte holdFence;
byte holdLife;

/* A probe that the backend server has answered; the answer is in transit. */
bool probing;
byte probeLife;
bool probeValid; /* no other incarnation has become known since the probe was sent */

/* The entry. */
bool bound; /* the task was sent to this agent, which has not reported its end */
bool other; /* the task runs on another backend server */

/* The entry may start the task on another backend server at any time, unless it was
 * sent to this agent. */
active proctype entry() {
	do
	:: atomic { !bound && !other -> other = true; assert(!running) }
	:: atomic { other -> other = false } /* it has ended there and may be started again */
	od
}

/* The backend server executes a start in transit, unless its token is too low. */
inline deliver(i) {
	sent[i] = false;
	if
	:: fenceOf[i] >= xfence -> xfence = fenceOf[i]; running = true; runOf = i; assert(!other);
		if
		:: i == newest -> answered = true
		:: else
		fi
	:: else
	fi
}

inline drop(i) {
	if
	:: sent[i] && fenceOf[i] < xfence -> sent[i] = false
	:: else
	fi
}

active proctype backend() {
	do
	:: atomic { sent[0] -> deliver(0) }
	:: atomic { sent[1] -> deliver(1) }
	:: atomic { sent[2] -> deliver(2) }
	:: atomic { running -> running = false } /* the task has ended */
	/* The backend server restarts. Starts whose tokens were too low before the
	 * restart are assumed to be lost. */
	:: atomic { crashes < CRASHES && restarts == 0 ->
		crashes++; running = false;
		drop(0); drop(1); drop(2);
		xfence = 0; life++
	}
	od
}

/* Another incarnation is known to have replaced the known one (UNKNOWN: not which one).
 * An unconfirmed start stays so until a reconciliation. */
inline reset(newLife) {
	if
	:: knownLife != UNKNOWN -> replaced = knownLife
	:: else
	fi;
	knownLife = newLife; clean = false; KNOWN_SINCE;
	if
	:: ENDS_WITH_LIFE -> started = false; bound = false
	:: started && !ENDS_WITH_LIFE -> started = false; starting = true; REBORN_DOUBT
	:: starting -> REBORN_DOUBT
	:: else
	fi
}

/* A list of the known incarnation shows the run. */
inline seen() {
	starting = false; started = true; listed = true; KNOWN
}

/* A renewal with the agent's token. Its answer lists the runs if the token is not
 * too low. */
inline settle() {
	if
	:: life != knownLife -> reset(life)
	:: else ->
		if
		:: afence < xfence -> afence = xfence + 1
		:: else ->
			xfence = afence;
			if
			:: running -> seen()
			:: else -> starting = false; started = false; bound = false
			fi
		fi
	fi
}

/* A start. No answer in transit can list its run. */
inline start(i) {
	bound = true; starting = true; sent[i] = true; fenceOf[i] = afence; startFence = afence; shown = false;
	newest = i; answered = false; unconfirmed = false; listed = false
}

/* The answer to a renewal arrives late, after the answers to other calls. */
inline lateAnswer() {
	pending = false;
	if
	:: wrong ->
		if
		:: callLife == knownLife -> reset(UNKNOWN)
		:: callLife != knownLife && knownLife != UNKNOWN -> EARLIER_WRONG
		:: else
		fi
	:: !wrong && holdLife != knownLife ->
		if
		:: callLife == knownLife -> reset(holdLife)
		:: else -> EARLIER_ANSWER /* no call is made to an unknown incarnation, see send() */
		fi
	:: !wrong && holdLife == knownLife && clean ->
		if
		:: shown && (starting || started) -> seen()
		:: !shown && started && fresh -> started = false; bound = false
		:: !shown && starting && unconfirmed && holdFence > startFence -> starting = false; bound = false
		:: else
		fi
	:: else
	fi
}

/* A call of a renewal that the backend server answers now. If the backend server has
 * restarted since, it may answer with status 421 and does nothing. */
inline send() {
	pending = true; callLife = knownLife;
	if
	:: life != knownLife -> wrong = true; shown = false; fresh = false; holdFence = 0; holdLife = 0
	:: afence >= xfence ->
		wrong = false; shown = running; fresh = true; holdFence = afence; xfence = afence; holdLife = life
	:: afence < xfence && life == knownLife -> pending = false
	fi
}

/* A status report of an incarnation that is not known arrives: of the present one, a
 * delayed one, or one of another writer. It has no effect but a probe, which the present
 * incarnation answers. If the report names another one, the answer contradicts it. */
inline report() {
#ifdef NO_CONFIRMATION
	if
	:: knownLife != life -> reset(life)
	:: life > 0 && knownLife != life - 1 -> reset(life - 1)
	:: knownLife != FOREIGN -> reset(FOREIGN)
	fi
#else
	probing = true; probeLife = life; probeValid = true
#endif
}

/* The answer to a probe arrives late, after the answers to other calls. */
inline probeAnswer() {
	probing = false;
	if
	:: probeLife != knownLife && PROBE_COUNTS -> reset(probeLife)
	:: else
	fi;
	probeLife = 0; probeValid = false
}

/* A reconciliation call. A run that this process has started continues, others are
 * stopped. */
#define MINE (runOf == newest && (starting || started))
inline look() {
	if
	:: life != knownLife && knownLife != UNKNOWN -> reset(life)
	:: else ->
		if
		:: knownLife != life -> knownLife = life; KNOWN_SINCE
		:: else
		fi;
		if
		:: afence < xfence -> afence = xfence + 1
		:: else ->
			xfence = afence;
			if
#ifndef NO_STOP
			:: running && !MINE -> running = false /* stopped; reconciled again */
#endif
#ifndef NO_LEAP
			:: !(running && !MINE) && !leapt -> leapt = true; afence = afence + LEAP
#endif
			:: else ->
				clean = true;
				if
				:: running && MINE -> seen()
				:: else -> starting = false; started = false; bound = false
				fi
			fi
		fi
	fi
}

active proctype agent() {
	do
	/* A reconciliation. If it succeeds, the agent announces itself to the entry. */
	:: atomic { !clean && raises < RAISES -> raises++; afence++; look() }
	/* A start, sent while no other start or run is known. */
	:: atomic { clean && !bound && !other && !sent[0] -> start(0) }
	:: atomic { clean && !bound && !other && !sent[1] -> start(1) }
	:: atomic { clean && !bound && !other && !sent[2] -> start(2) }
	/* The start was not answered in time. The renewal that shows its outcome is sent then. */
	:: atomic { clean && starting && !unconfirmed && raises < RAISES -> raises++; RAISE; unconfirmed = true }
	:: atomic { clean && starting && unconfirmed -> settle() }
	/* The answer to the start arrives. Renewals that were sent earlier do not show its run. */
	:: atomic { answered && starting && !unconfirmed ->
		answered = false; starting = false; started = true; KNOWN }
	/* A renewal during a run. */
	:: atomic { clean && started -> settle() }
	/* The backend server answers a renewal, and the answer arrives later. */
	:: atomic { clean && !pending -> send() }
	:: atomic { pending -> lateAnswer() }
	:: atomic { !probing && (knownLife != life || life > 0) -> report() }
	:: atomic { probing -> probeAnswer() }
	/* The agent's process is replaced. The new one has no state, and its clock may have
	 * been set back. */
	:: atomic { restarts < RESTARTS && crashes == 0 ->
		restarts++; starting = false; started = false; pending = false; probing = false; answered = false; afence = 1; raises = 0; leapt = false;
#ifdef NO_LOOK
		clean = true; bound = false; knownLife = life
#else
		clean = false
#endif
	}
	od
}
