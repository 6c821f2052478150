/*
 * Leases and fencing at one backend server: an agent that may be replaced, a
 * backend server that may begin anew, and starts that may be carried out at any
 * later time or never. One task; "other" is a run of it on another backend
 * server, which the entry begins when it was told that no run is here.
 *
 * Property: the task never runs here and elsewhere at the same time.
 *
 * The agent's next process starts from a low token, as if its clock had gone back
 * for ever. When the backend server begins anew as well nothing tells the tokens
 * of before: that case rests on the wall clock and is left out.
 *
 * Ends by a lapsed lease are left to the waits that the code computes from
 * clocks (leaser, keeper.LapseWait): here a run that nobody stops goes on.
 */

#ifndef ORDERS
#define ORDERS 3 /* starts that may be on their way */
#endif
#define RESTARTS 2 /* of the agent */
#define CRASHES 1  /* of the backend server */
#define RAISES 3   /* of the token, by one incarnation of the agent */
#define LEAP 4     /* more than RAISES */

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

/* Starts on their way. */
bool sent[ORDERS];
byte fenceOf[ORDERS];

/* The agent. */
byte afence = 1;
byte knownLife;
bool clean;
bool starting; /* a start was sent and is not settled */
bool started;  /* a start was answered, or a look has shown the run */
bool leapt;    /* the token is above any of an earlier incarnation */
byte raises;
byte restarts;

byte startFence; /* of the start that is not settled, or of the run */

/* A hold that the backend server has answered, whose answer is on its way. */
bool pending;
bool shown;      /* it lists the newest run */
bool fresh;      /* it was sent after the run was last seen */
byte holdFence;
byte holdLife;

/* The entry. */
bool bound; /* the task was sent to this agent and is not settled */
bool other; /* it runs elsewhere */

/* The entry places a task that is not bound elsewhere, at any time. */
active proctype entry() {
	do
	:: atomic { !bound && !other -> other = true; assert(!running) }
	:: atomic { other -> other = false } /* it has ended there, and comes again */
	od
}

/* The backend server carries out a start that is on its way, now or later. */
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
	:: atomic { running -> running = false } /* the task is done */
	/* It begins anew. A start that was fenced off before is taken as gone. */
	:: atomic { crashes < CRASHES && restarts == 0 ->
		crashes++; running = false;
		drop(0); drop(1); drop(2);
		xfence = 0; life++
	}
	od
}

/* A hold with the agent's token: what runs is known if it is not too low. */
inline settle() {
	if
	:: life != knownLife -> /* what ran is gone; a start in doubt stays so until a look */
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

/* A start, whose run no answer on its way can list. */
inline start(i) {
	bound = true; starting = true; sent[i] = true; fenceOf[i] = afence; startFence = afence; shown = false
}

/* The answer to a hold arrives late, after answers to others. */
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
		:: running -> running = false /* stopped; looked at again */
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
	/* A look, and the announcement that follows. */
	:: atomic { !clean && raises < RAISES -> raises++; afence++; look() }
	/* A start, sent while nothing is unsettled. */
	:: atomic { clean && !bound && !other && !sent[0] -> start(0) }
	:: atomic { clean && !bound && !other && !sent[1] -> start(1) }
	:: atomic { clean && !bound && !other && !sent[2] -> start(2) }
	/* The start was not answered in time. */
	:: atomic { clean && starting && raises < RAISES -> raises++; RAISE; settle() }
	/* A hold while it runs. */
	:: atomic { clean && started -> settle() }
	/* A hold is answered by the backend server, and its answer comes later. */
	:: atomic { clean && !pending && afence >= xfence && life == knownLife ->
		pending = true; shown = running; fresh = true; holdFence = afence; xfence = afence; holdLife = life }
	:: atomic { pending -> lateAnswer() }
	/* The agent's process is replaced: it knows nothing, and its clock may have gone back. */
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
