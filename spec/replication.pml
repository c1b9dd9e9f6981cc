/*
 * Replication of claims and start intents for one shard and one job
 * identity. See README.md for what is modelled and what is abstracted.
 *
 * Macros M_* each seed one mutation; W_* each switch one rule back to the
 * weaker form that it replaced. Both must be caught.
 */

/* Bounds. */
#ifndef NT
#define NT 1            /* tasks of the job, 1 or 2 */
#endif
#ifndef MAXVER
#define MAXVER 4        /* highest version of the view */
#endif
#ifndef MAXKILL
#define MAXKILL 2       /* processes killed */
#endif
#define NI 3            /* instances of the home domain */
#define NONE 3          /* no instance */
#define SKEW 1          /* bound of a clock's distance from true time */
#define SUBMITTED 4     /* submission time of the identity */
#define MINNOW 1        /* first value of true time */
#define MAXNOW 2        /* last value of true time */
#define ALL ((1 << NT) - 1)

/* Roles of an instance. */
#define OUT 0
#define OWNER 1
#define REPLICA 2
#define LEARNER 3

/* Positions inside the handling of one event. */
#define IDLE 0
#define ADMIT 1         /* admission checked, not yet recorded */
#define ACT 2           /* predecessor proven dead, not yet acting */
#define START 3         /* START + i: start of task i decided, not yet sent */

/* Final answers. */
#define COMPLETE 1
#define FAILED 2
#define REFUSED 3

/* A record is one byte: claim, intent prefix, result mask, final answer. */
#define CLAIM 1
#define ONE_INTENT 2
#define UPTO(r) (((r) >> 1) & 3)
#define DONE(r) (((r) >> 3) & 3)
#define FINAL(r) (((r) >> 5) & 3)
#define RESULT(i) (8 << (i))
#define FINAL_IS(f) ((f) << 5)

typedef Inst {
	bit alive;
	bit inc;        /* incarnation */
	byte role;
	byte ver;       /* version of the view it is in */
	byte peer;      /* other member, or learner */
	bit peerinc;
	bit learning;   /* the peer is a learner, not yet a member */
	bit confirmed;  /* no gap since its last own write of the view */
	bit promised;   /* acknowledges the version no more */
	byte rec;
	byte acked;     /* record that the peer has acknowledged */
	byte floor;
	byte sent;      /* mask of tasks whose start it decided */
	byte pc
}
Inst p[NI];

/* The compare-and-swap in flight that will land. It expects the current
 * version, for one that expects an older one can do nothing any more. Those
 * that never land are not kept; what their writers do besides is in the
 * steps "silent" and "promise". */
typedef Cas {
	bit on;
	byte owner;
	bit ownerinc;
	byte replica;
	bit replicainc;
	byte floor;
	byte by;
	bit byinc;
	bit fresh       /* no gap of the writer since it was issued */
}
Cas cas;

/* The platform's register. */
byte ver = 1;
byte vowner;
bit vownerinc;
byte vreplica = NONE;
bit vreplicainc;
byte vfloor;
byte vby = NONE;
bit vbyinc;
bit vfresh;

/* The world outside. */
byte now = MINNOW;
byte kills;
byte started;    /* mask of tasks started */
byte notrun;     /* mask of tasks that a caller was told never ran */
byte answered;   /* first final answer, as a record */

#ifdef W_SILENCE_FIRST
byte suspect[NI];       /* mask of instances once seen silent */
#endif

#define DEAD(y, i) (!p[y].alive || p[y].inc != i)
#define ISOWNER(x) (vowner == x && vownerinc == p[x].inc)
#define ISREPLICA(x) (vreplica == x && vreplicainc == p[x].inc)
#define LONE(x) (p[x].peer == NONE)
#define CANWRITE (ver < MAXVER && !cas.on)

#if defined(M_NO_ACK) || defined(M_LEASE)
#define MUSTACK(x) 0
#elif defined(M_LEARNER_LATE)
#define MUSTACK(x) (!LONE(x) && !p[x].learning)
#else
#define MUSTACK(x) (!LONE(x))
#endif

#ifdef M_START_EARLY
#define MAYSTART(x, i) (!MUSTACK(x) || (p[x].acked & CLAIM))
#elif defined(M_LEASE)
#define MAYSTART(x, i) (now < MAXNOW || !MUSTACK(x))
#else
#define MAYSTART(x, i) (!MUSTACK(x) || UPTO(p[x].acked) > i)
#endif

#ifdef M_ANSWER_EARLY
#define MAYANSWER(x) 1
#else
#define MAYANSWER(x) (!MUSTACK(x) || FINAL(p[x].acked) != 0)
#endif

#ifdef M_FLOOR_LOW
#define FLOOR(clock) ((clock) + 2 * SKEW)
#elif defined(W_FLOOR_EQUAL)
#define FLOOR(clock) ((clock) + 3 * SKEW)
#else
#define FLOOR(clock) ((clock) + 3 * SKEW + 1)
#endif

/* observe: y is paused longer than the bound and an observer sees it
 * silent. y notices at its next event and is unconfirmed from then on. */
inline observe(y) {
#ifndef M_IGNORE_GAP
	p[y].confirmed = 0;
	if
	:: cas.on && cas.by == y && cas.byinc == p[y].inc -> cas.fresh = 0
	:: else -> skip
	fi;
	if
	:: vby == y && vbyinc == p[y].inc -> vfresh = 0
	:: else -> skip
	fi
#else
	skip
#endif
}

inline observeIfAlive(y, i) {
	if
	:: !DEAD(y, i) -> observe(y)
	:: else -> skip
	fi
}

inline issue(BY, O, OI, R, RI, F) {
	cas.on = 1;
	cas.owner = O;
	cas.ownerinc = OI;
	cas.replica = R;
	cas.replicainc = RI;
	cas.floor = F;
	cas.by = BY;
	cas.byinc = p[BY].inc;
	cas.fresh = 1
}

/* takeover: x goes on with the records that it holds. */
inline takeover(x) {
	p[x].role = OWNER;
	p[x].peer = NONE;
	p[x].peerinc = 0;
	p[x].learning = 0;
	p[x].promised = 0;
	p[x].acked = 0;
	p[x].sent = DONE(p[x].rec);
	if
	:: FINAL(p[x].rec) == 0 && DONE(p[x].rec) != (1 << UPTO(p[x].rec)) - 1 ->
		p[x].rec = p[x].rec | FINAL_IS(FAILED)
	:: else -> skip
	fi
}

inline leave(x) {
	p[x].role = OUT;
	p[x].peer = NONE;
	p[x].peerinc = 0;
	p[x].learning = 0;
	p[x].promised = 0;
	p[x].acked = 0;
	p[x].sent = 0;
#ifndef W_KEEP_RECORDS
	p[x].rec = 0;
#endif
	p[x].floor = 0;
	p[x].confirmed = 1
}

/* adopt: x reads a newer view. */
inline adopt(x) {
	if
	:: !ISOWNER(x) && !ISREPLICA(x) ->
		leave(x);
		p[x].ver = 0
	:: else ->
		if
		:: ISOWNER(x) && p[x].role == OWNER ->
			p[x].peer = vreplica;
			p[x].peerinc = vreplicainc;
			p[x].learning = 0;
			p[x].acked = 0
		:: ISOWNER(x) && p[x].role == REPLICA ->
			takeover(x)
		:: ISOWNER(x) && (p[x].role == OUT || p[x].role == LEARNER) ->
			p[x].peer = NONE;
			p[x].peerinc = 0;
#ifndef W_KEEP_RECORDS
			p[x].rec = 0;
#endif
			p[x].role = OWNER;
			p[x].floor = vfloor
		:: ISREPLICA(x) ->
			assert(p[x].role != OUT);       /* a new member holds the records */
			p[x].role = REPLICA;
			p[x].peer = vowner;
			p[x].peerinc = vownerinc;
			p[x].learning = 0;
			p[x].promised = 0;
			p[x].acked = 0
		fi;
		p[x].ver = ver;
		if
		:: vby == x && vbyinc == p[x].inc && vfresh -> p[x].confirmed = 1
		:: else -> skip
		fi
	fi
}

/* learn: y becomes a learner of x and x needs its acknowledgements. */
inline learn(x, y) {
	p[y].role = LEARNER;
	p[y].ver = p[x].ver;
	p[y].peer = x;
	p[y].peerinc = p[x].inc;
	p[y].promised = 0;
	p[y].rec = 0;
	p[y].floor = p[x].floor;
	p[x].peer = y;
	p[x].peerinc = p[y].inc;
	p[x].learning = 1;
	p[x].acked = 0
}

#define CANLEARN(x, y) (x != y && p[y].alive && p[y].pc == IDLE && p[y].role == OUT)

inline send(i) {
	assert((started & (1 << i)) == 0);      /* one start per task */
	assert((notrun & (1 << i)) == 0);       /* "not run" is true for ever */
	started = started | (1 << i)
}

/* tell: a final answer reaches a caller. */
inline tell(x) {
	assert(answered == 0 || answered == p[x].rec);  /* a final answer never changes */
	answered = p[x].rec;
	if
	:: FINAL(answered) == COMPLETE -> assert(started == ALL)
	:: FINAL(answered) == FAILED -> notrun = ALL & ~((1 << UPTO(answered)) - 1)
	:: FINAL(answered) == REFUSED -> notrun = ALL
	fi;
	assert((notrun & started) == 0)
}

#define AT(x, c) (p[x].alive && p[x].pc == c)
#define OWNS(x) (AT(x, IDLE) && p[x].role == OWNER)
#define CANACK(x, y) (!DEAD(y, p[x].peerinc) && p[y].pc == IDLE && \
	(p[y].role == REPLICA || p[y].role == LEARNER) && p[y].peer == x && \
	p[y].peerinc == p[x].inc && p[y].ver == p[x].ver && !p[y].promised)

#ifdef W_SILENCE_FIRST
#define GONE(x, y, i) (DEAD(y, i) || (suspect[x] & (1 << y)))
#else
#define GONE(x, y, i) 1
#endif
#define CANREPLACE(x) (AT(x, IDLE) && CANWRITE && !ISOWNER(x) && !ISREPLICA(x) && \
	(p[x].role == OUT || p[x].ver == ver) && GONE(x, vowner, vownerinc) && \
	(vreplica == NONE || GONE(x, vreplica, vreplicainc)))

/* replace: x, which holds no records, takes the place of members all of
 * which are dead or silent. Its clock is read after the silence. */
inline replace(x, clock) {
#ifndef W_SILENCE_FIRST
	observeIfAlive(vowner, vownerinc);
	if
	:: vreplica != NONE -> observeIfAlive(vreplica, vreplicainc)
	:: else -> skip
	fi;
#endif
	issue(x, x, p[x].inc, NONE, 0, FLOOR(clock))
}

proctype Instance(byte x) {
	do
	/* A submission arrives: first copy, resubmission or late duplicate. */
	:: d_step { OWNS(x) && p[x].confirmed && p[x].rec == 0 && p[x].floor <= SUBMITTED &&
		now + SKEW >= SUBMITTED - SKEW -> p[x].pc = ADMIT }
	:: d_step { AT(x, ADMIT) -> p[x].rec = CLAIM; p[x].pc = IDLE }
	:: d_step { AT(x, ADMIT) -> p[x].pc = IDLE;
#ifdef W_REFUSAL_UNRECORDED
		assert(started == 0); notrun = ALL
#else
		p[x].rec = CLAIM | FINAL_IS(REFUSED)
#endif
		}
#ifdef W_AHEAD_NOT_RUN
	:: d_step { OWNS(x) && p[x].confirmed && p[x].rec == 0 && p[x].floor <= SUBMITTED &&
		now - SKEW + SKEW < SUBMITTED && notrun != ALL -> assert(started == 0); notrun = ALL }
#endif

	/* The owner's work on the job. */
	:: d_step { OWNS(x) && p[x].confirmed && (p[x].rec & CLAIM) && FINAL(p[x].rec) == 0 && UPTO(p[x].rec) < NT ->
		p[x].rec = p[x].rec + ONE_INTENT }
	:: d_step { OWNS(x) && p[x].confirmed && FINAL(p[x].rec) == 0 && UPTO(p[x].rec) > 0 &&
		!(p[x].sent & 1) && MAYSTART(x, 0) -> p[x].sent = p[x].sent | 1; p[x].pc = START }
	:: d_step { AT(x, START) -> p[x].pc = IDLE; send(0) }
	:: d_step { OWNS(x) && FINAL(p[x].rec) == 0 && UPTO(p[x].rec) > 0 && (p[x].sent & 1) && !(DONE(p[x].rec) & 1) ->
		p[x].rec = p[x].rec | RESULT(0) }
#if NT > 1
	:: d_step { OWNS(x) && p[x].confirmed && FINAL(p[x].rec) == 0 && UPTO(p[x].rec) > 1 &&
		!(p[x].sent & 2) && (p[x].sent & 1) && MAYSTART(x, 1) -> p[x].sent = p[x].sent | 2; p[x].pc = START + 1 }
	:: d_step { AT(x, START + 1) -> p[x].pc = IDLE; send(1) }
	:: d_step { OWNS(x) && FINAL(p[x].rec) == 0 && UPTO(p[x].rec) > 1 && (p[x].sent & 2) && !(DONE(p[x].rec) & 2) ->
		p[x].rec = p[x].rec | RESULT(1) }
#endif
	:: d_step { OWNS(x) && FINAL(p[x].rec) == 0 && DONE(p[x].rec) == ALL -> p[x].rec = p[x].rec | FINAL_IS(COMPLETE) }
	:: d_step { OWNS(x) && (p[x].rec & CLAIM) && FINAL(p[x].rec) == 0 && DONE(p[x].rec) != ALL ->
		p[x].rec = p[x].rec | FINAL_IS(FAILED) }        /* cancelled, or past its deadline */
	:: d_step { OWNS(x) && FINAL(p[x].rec) != 0 && MAYANSWER(x) && answered != p[x].rec -> tell(x) }

	/* Replication: the peer takes the record; the acknowledgement may be lost. */
	:: d_step { OWNS(x) && p[x].peer != NONE && CANACK(x, p[x].peer) && p[p[x].peer].rec != p[x].rec ->
		p[p[x].peer].rec = p[x].rec }
	:: d_step { OWNS(x) && p[x].peer != NONE && CANACK(x, p[x].peer) &&
		p[p[x].peer].rec == p[x].rec && p[x].acked != p[x].rec -> p[x].acked = p[x].rec }
#ifdef M_PROMISE_BROKEN
	/* The replica acknowledges the old version though it has promised not to;
	 * what it takes over with was settled at the promise. */
	:: d_step { OWNS(x) && p[x].peer != NONE && !DEAD(p[x].peer, p[x].peerinc) &&
		(p[p[x].peer].promised || p[p[x].peer].ver > p[x].ver) && p[x].acked != p[x].rec -> p[x].acked = p[x].rec }
#endif

	/* Proof of death. */
	:: d_step { AT(x, IDLE) && p[x].role == REPLICA && p[x].confirmed && DEAD(p[x].peer, p[x].peerinc) -> p[x].pc = ACT }
	:: d_step { AT(x, ACT) -> p[x].pc = IDLE; takeover(x) }
	:: d_step { OWNS(x) && p[x].confirmed && p[x].peer != NONE && DEAD(p[x].peer, p[x].peerinc) ->
		p[x].peer = NONE; p[x].peerinc = 0; p[x].learning = 0; p[x].acked = 0 }
#ifdef M_SILENCE_IS_DEATH
	:: d_step { AT(x, IDLE) && p[x].role == REPLICA && p[x].confirmed && !DEAD(p[x].peer, p[x].peerinc) ->
		observe(p[x].peer); p[x].pc = ACT }
	:: d_step { OWNS(x) && p[x].confirmed && p[x].peer != NONE && !DEAD(p[x].peer, p[x].peerinc) ->
		observe(p[x].peer); p[x].peer = NONE; p[x].peerinc = 0; p[x].learning = 0; p[x].acked = 0 }
#endif
#ifdef W_LEARNER_GIVEN_UP
	:: d_step { OWNS(x) && p[x].confirmed && p[x].learning ->
		p[x].peer = NONE; p[x].peerinc = 0; p[x].learning = 0; p[x].acked = 0 }
#endif

	/* The view is read, also after a write with a lost answer. */
	:: d_step { AT(x, IDLE) && ver > p[x].ver && (p[x].role != OUT || ISOWNER(x) || ISREPLICA(x)) -> adopt(x) }
#ifdef W_CONFIRM_BY_READ
	:: d_step { AT(x, IDLE) && ver == p[x].ver && !p[x].confirmed && (ISOWNER(x) || ISREPLICA(x)) -> p[x].confirmed = 1 }
#endif

	/* Writes of the view. Every silence is observed after the version was
	 * read that the write expects. */
#ifndef W_CONFIRM_BY_READ
	:: d_step { AT(x, IDLE) && CANWRITE && ver == p[x].ver && !p[x].confirmed && (ISOWNER(x) || ISREPLICA(x)) ->
		issue(x, vowner, vownerinc, vreplica, vreplicainc, vfloor) }
#endif
	:: d_step { OWNS(x) && CANWRITE && ver == p[x].ver && ISOWNER(x) && p[x].peer != NONE &&
		GONE(x, p[x].peer, p[x].peerinc) ->
#ifndef W_SILENCE_FIRST
		observeIfAlive(p[x].peer, p[x].peerinc);
#endif
		issue(x, x, p[x].inc, NONE, 0, vfloor) }
#ifdef W_DROP_REFUSING
	:: d_step { OWNS(x) && CANWRITE && ver == p[x].ver && ISOWNER(x) && p[x].peer != NONE && p[p[x].peer].promised ->
		issue(x, x, p[x].inc, NONE, 0, vfloor) }
#endif
	:: d_step { OWNS(x) && CANWRITE && ver == p[x].ver && p[x].peer == NONE && (ISREPLICA(x) || (ISOWNER(x) && vreplica != NONE)) ->
		issue(x, x, p[x].inc, NONE, 0, vfloor) }
	:: d_step { AT(x, IDLE) && p[x].role == REPLICA && CANWRITE && ver == p[x].ver && ISREPLICA(x) &&
		GONE(x, vowner, vownerinc) -> p[x].promised = 1;
#ifndef W_SILENCE_FIRST
		observeIfAlive(vowner, vownerinc);
#endif
		issue(x, x, p[x].inc, NONE, 0, vfloor) }
	:: d_step { CANREPLACE(x) -> replace(x, now - SKEW) }   /* the clock that is furthest behind */
#ifdef W_SILENCE_FIRST
	:: d_step { AT(x, IDLE) && !(suspect[x] & (1 << ((x + 1) % NI))) -> observe((x + 1) % NI); suspect[x] = suspect[x] | (1 << ((x + 1) % NI)) }
	:: d_step { AT(x, IDLE) && !(suspect[x] & (1 << ((x + 2) % NI))) -> observe((x + 2) % NI); suspect[x] = suspect[x] | (1 << ((x + 2) % NI)) }
#endif

	:: d_step { AT(x, IDLE) && p[x].role == REPLICA && !p[x].promised -> p[x].promised = 1 }

	/* A member is gained. */
	:: d_step { OWNS(x) && p[x].confirmed && p[x].peer == NONE && ver == p[x].ver && ISOWNER(x) && vreplica == NONE &&
		CANLEARN(x, (x + 1) % NI) -> learn(x, (x + 1) % NI) }
	:: d_step { OWNS(x) && p[x].confirmed && p[x].peer == NONE && ver == p[x].ver && ISOWNER(x) && vreplica == NONE &&
		CANLEARN(x, (x + 2) % NI) -> learn(x, (x + 2) % NI) }
	:: d_step { OWNS(x) && CANWRITE && ver == p[x].ver && ISOWNER(x) && p[x].learning && p[x].acked == p[x].rec &&
		p[p[x].peer].rec == p[x].rec ->
		issue(x, x, p[x].inc, p[x].peer, p[x].peerinc, vfloor) }
	od
}

inline land() {
	vowner = cas.owner;
	vownerinc = cas.ownerinc;
	vreplica = cas.replica;
	vreplicainc = cas.replicainc;
	vfloor = (cas.floor > vfloor -> cas.floor : vfloor);
	vby = cas.by;
	vbyinc = cas.byinc;
	vfresh = cas.fresh;
	ver++;
	cas.on = 0;
	cas.owner = 0;
	cas.ownerinc = 0;
	cas.replica = 0;
	cas.replicainc = 0;
	cas.floor = 0;
	cas.by = 0;
	cas.byinc = 0;
	cas.fresh = 0
}

inline kill(x) {
	kills++;
	leave(x);
	p[x].rec = 0;
	p[x].alive = 0;
	p[x].ver = 0;
	p[x].confirmed = 1;
	p[x].pc = IDLE
}

proctype World() {
	do
	:: d_step { now < MAXNOW -> now++ }
	:: d_step { cas.on -> land() }
	:: d_step { !DEAD(vowner, vownerinc) && p[vowner].confirmed -> observe(vowner) }
	:: d_step { vreplica != NONE && !DEAD(vreplica, vreplicainc) && p[vreplica].confirmed -> observe(vreplica) }
	:: d_step { kills < MAXKILL && p[0].alive -> kill(0) }
	:: d_step { kills < MAXKILL && p[1].alive -> kill(1) }
	:: d_step { kills < MAXKILL && p[2].alive -> kill(2) }
	:: d_step { !p[0].alive && p[0].inc == 0 -> p[0].alive = 1; p[0].inc = 1 }
	:: d_step { !p[1].alive && p[1].inc == 0 -> p[1].alive = 1; p[1].inc = 1 }
	:: d_step { !p[2].alive && p[2].inc == 0 -> p[2].alive = 1; p[2].inc = 1 }
	od
}

init {
	d_step {
		p[0].alive = 1;
		p[1].alive = 1;
		p[2].alive = 1;
		p[0].confirmed = 1;
		p[1].confirmed = 1;
		p[2].confirmed = 1;
		p[0].peer = NONE;
		p[1].peer = NONE;
		p[2].peer = NONE;
		p[0].role = OWNER;
		p[0].ver = 1;
		p[1].ver = 1;
		p[2].ver = 1
	}
	if
	:: d_step { true -> vreplica = 1; p[0].peer = 1; p[1].role = REPLICA; p[1].peer = 0 }
	:: skip
	fi;
	atomic {
		run Instance(0);
		run Instance(1);
		run Instance(2);
		run World()
	}
}
