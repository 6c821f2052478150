/*
 * Leases and fencing tokens at one backend server: an agent that may be replaced,
 * a backend server that may restart, and starts that may be executed at any later
 * time or never. There is one task; "other" is a run of it on another backend
 * server, which the entry starts after the agent has reported that the task does
 * not run on this one. The names call a fencing token "fence", an incarnation of
 * the backend server "life", a restarted one "reborn", a renewal "hold" and a
 * reconciliation "look".
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
#define CRASHES 1  /* restarts of the backend server */
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
#ifdef NO_REBORN_DOUBT
#define REBORN_SETTLES starting = false; started = false; bound = false
#else
#define REBORN_SETTLES started = false
#endif

/* The backend server. */
bool running;
byte xfence;
byte life;
byte crashes;

/* Starts in transit. */
bool sent[ORDERS];
byte fenceOf[ORDERS];

/* The agent. */
byte afence = 1;
byte knownLife;
bool clean;    /* reconciled with this incarnation of the backend server */
bool starting; /* a start was sent and is unconfirmed */
bool started;  /* a start was confirmed: the answer to a renewal listed its run */
bool leapt;    /* the token exceeds those of all earlier incarnations of the agent */
byte raises;
byte restarts;

byte startFence; /* token of the unconfirmed start, or of the run */

/* A renewal that the backend server has answered; the answer is in transit. */
bool pending;
bool shown;      /* the answer lists the newest run */
bool fresh;      /* the call was sent after a run was last listed */
byte holdFence;
byte holdLife;

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
	:: fenceOf[i] >= xfence -> xfence = fenceOf[i]; running = true; assert(!other)
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

/* A renewal with the agent's token. Its answer lists the runs if the token is not
 * too low. */
inline settle() {
	if
	:: life != knownLife -> /* a restart: the runs have ended; an unconfirmed start stays so until a reconciliation */
		knownLife = life; clean = false; REBORN_SETTLES
	:: else ->
		if
		:: afence < xfence -> afence = xfence + 1
		:: else ->
			xfence = afence;
			if
			:: running -> starting = false; started = true; KNOWN
			:: else -> starting = false; started = false; bound = false
			fi
		fi
	fi
}

/* A start. No answer in transit can list its run. */
inline start(i) {
	bound = true; starting = true; sent[i] = true; fenceOf[i] = afence; startFence = afence; shown = false
}

/* The answer to a renewal arrives late, after the answers to other calls. */
inline lateAnswer() {
	pending = false;
	if
	:: holdLife != knownLife || !clean
	:: else ->
		if
		:: shown && (starting || started) -> starting = false; started = true; KNOWN
		:: !shown && started && fresh -> started = false; bound = false
		:: !shown && starting && holdFence > startFence -> starting = false; bound = false
		:: else
		fi
	fi
}

inline look() {
	knownLife = life;
	if
	:: afence < xfence -> afence = xfence + 1
	:: else ->
		xfence = afence;
		if
#ifndef NO_STOP
		:: running -> running = false /* stopped; reconciled again */
#endif
#ifndef NO_LEAP
		:: !running && !leapt -> leapt = true; afence = afence + LEAP
#endif
		:: else -> clean = true; starting = false; started = false; bound = false
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
	/* The start was not acknowledged in time. */
	:: atomic { clean && starting && raises < RAISES -> raises++; RAISE; settle() }
	/* A renewal during a run. */
	:: atomic { clean && started -> settle() }
	/* The backend server answers a renewal, and the answer arrives later. */
	:: atomic { clean && !pending && afence >= xfence && life == knownLife ->
		pending = true; shown = running; fresh = true; holdFence = afence; xfence = afence; holdLife = life }
	:: atomic { pending -> lateAnswer() }
	/* The agent's process is replaced. The new one has no state, and its clock may have
	 * been set back. */
	:: atomic { restarts < RESTARTS && crashes == 0 ->
		restarts++; starting = false; started = false; pending = false; afence = 1; raises = 0; leapt = false;
#ifdef NO_LOOK
		clean = true; bound = false; knownLife = life
#else
		clean = false
#endif
	}
	od
}
