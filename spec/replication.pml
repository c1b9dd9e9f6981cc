/*
 * Replication of claims and start intents for one shard and one job
 * identity. README.md describes the scope and the abstractions.
 *
 * REPLACE adds the replacement of a live replica by a learner, HANDOVER the
 * planned handover of ownership.
 *
 * CALM stops the faults at some step, after which the job must be answered.
 *
 * Each macro M_* seeds a mutation; each W_* replaces a rule by a weaker
 * earlier form. Both must be caught. Those of REPLACE and HANDOVER have that
 * word in their name.
 */

/* Bounds. */
#ifndef NT
#define NT 1            /* tasks of the job, 1 or 2 */
#endif
#ifndef MAXVER
#define MAXVER 4        /* highest version of the view */
#endif
#ifndef MAXKILL
#define MAXKILL 2       /* number of kills */
#endif
#ifndef FAULTVER
#define FAULTVER 2      /* CALM: highest version before the faults stop */
#endif
#define NI 3            /* instances of the home domain */
#define NONE 3          /* no instance */
#define SKEW 1          /* bound of the difference between a clock and true time */
#define SUBMITTED 4     /* submission time of the identity */
#ifndef MINNOW
#define MINNOW 1        /* first value of true time */
#endif
#define MAXNOW 2        /* last value of true time */
#define ALL ((1 << NT) - 1)

/* Roles of an instance. */
#define OUT 0
#define OWNER 1
#define REPLICA 2
#define LEARNER 3

/* Steps within the handling of an event. */
#define IDLE 0
#define ADMIT 1         /* admission checked, not yet recorded */
#define ACT 2           /* predecessor proven dead, takeover not yet begun */
#define START 3         /* START + i: start of task i decided, not yet sent */

/* Final answers. */
#define COMPLETE 1
#define FAILED 2
#define REFUSED 3

/* Progress of an owner's learner (REPLACE). */
#define COPYING 0
#define JOINING 1       /* commits wait for it; it may lack earlier ones */
#define JOINED 2        /* it holds all commits */

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
	byte ver;       /* version of its view */
	byte peer;      /* other member, or learner */
	bit peerinc;
	bit learning;   /* the peer is a learner, not yet a member */
	bit confirmed;  /* no pause since its last own write of the view */
	bit landed;     /* such a write was applied, which it may not know yet */
	bit promised;   /* no longer acknowledges the version */
	byte rec;
	byte acked;     /* record acknowledged by the peer */
	byte floor;
	byte sent;      /* mask of tasks that it decided to start */
#ifdef REPLACE
	byte next;      /* owner: learner */
	bit nextinc;
	byte copy;      /* progress of the learner */
	byte nextacked; /* record acknowledged by the learner */
	bit released;   /* the replica has promised not to act on the owner's death */
#endif
#ifdef HANDOVER
	bit sealed;
	bit ready;      /* sealed: the target has the handover message and all operations */
	byte running;   /* mask of its starts, under any ownership, without an outcome yet */
	byte unsent;    /* those that have not been sent yet */
	byte queued;    /* sealed: mask of covered tasks that have not started */
	byte remote;    /* mask of tasks that an earlier owner will report */
	byte runner;    /* instance that will report them */
	bit noted;      /* replica: it has a handover message */
	byte note;      /* mask of in-flight tasks in the message */
	byte noterunner;
#endif
	byte pc
}
Inst p[NI];

/* The compare-and-swap in flight that will be applied. It expects the current
 * version, because one that expects an older version has no effect. Those that
 * are never applied are not modelled; what their writers do besides is in the
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
	bit fresh       /* the writer has not paused since it was issued */
}
Cas cas;

/* The platform's register. */
byte ver = 1;
byte vowner;
bit vownerinc;
byte vreplica = NONE;
bit vreplicainc;
byte vfloor;
#ifdef HANDOVER
byte vby = NONE;
bit vbyinc;
#endif

/* Environment. */
byte now = MINNOW;
byte kills;
byte started;    /* mask of tasks started */
byte notrun;     /* mask of tasks that were answered as not run */
byte answered;   /* first final answer, as a record */
#ifdef HANDOVER
byte taker;      /* temporary, 0 between steps */
#endif
#ifdef CALM
bit calm;        /* no faults from here on */
#endif

#ifdef W_SILENCE_FIRST
byte suspect[NI];       /* mask of instances that were ever seen silent */
#endif

#define DEAD(y, i) (!p[y].alive || p[y].inc != i)
#define ISOWNER(x) (vowner == x && vownerinc == p[x].inc)
#define ISREPLICA(x) (vreplica == x && vreplicainc == p[x].inc)
#define LONE(x) (p[x].peer == NONE)
#ifdef CALM
#define FAULTY !calm
#define LASTVER (calm -> MAXVER : FAULTVER)
#else
#define FAULTY 1
#define LASTVER MAXVER
#endif
#define CANWRITE (ver < LASTVER && !cas.on)

#if defined(M_NO_ACK) || defined(M_LEASE)
#define MUSTACK(x) 0
#elif defined(M_REPLACE_OLD_DROPPED)
#define MUSTACK(x) (!LONE(x) && p[x].copy != JOINED)
#elif defined(M_LEARNER_LATE)
#define MUSTACK(x) (!LONE(x) && !p[x].learning)
#else
#define MUSTACK(x) (!LONE(x))
#endif

#ifdef REPLACE
#ifdef M_REPLACE_LATE
#define NEXTACKS(x, c) 1
#else
#define NEXTACKS(x, c) (p[x].next == NONE || p[x].copy == COPYING || (c))
#endif
#else
#define NEXTACKS(x, c) 1
#endif

#ifdef M_START_EARLY
#define MAYSTART(x, i) (!MUSTACK(x) || (p[x].acked & CLAIM))
#elif defined(M_LEASE)
#define MAYSTART(x, i) (now < MAXNOW || !MUSTACK(x))
#else
#define MAYSTART(x, i) ((!MUSTACK(x) || UPTO(p[x].acked) > i) && NEXTACKS(x, UPTO(p[x].nextacked) > i))
#endif

#ifdef M_ANSWER_EARLY
#define MAYANSWER(x) 1
#else
#define MAYANSWER(x) ((!MUSTACK(x) || FINAL(p[x].acked) != 0) && NEXTACKS(x, FINAL(p[x].nextacked) != 0))
#endif

#ifdef M_FLOOR_LOW
#define FLOOR(clock) ((clock) + 2 * SKEW)
#elif defined(W_FLOOR_EQUAL)
#define FLOOR(clock) ((clock) + 3 * SKEW)
#else
#define FLOOR(clock) ((clock) + 3 * SKEW + 1)
#endif

#ifdef HANDOVER
#define SEALED(x) p[x].sealed
/* Tasks that the owner knows as started or in flight and may not start. */
#ifdef M_HANDOVER_RESTARTS
#define STARTED(x) (DONE(p[x].rec) | p[x].sent & ~p[x].remote)
#else
#define STARTED(x) (DONE(p[x].rec) | p[x].sent | p[x].remote)
#endif
#ifdef M_HANDOVER_ADMITS
#define ADMITS(x) 1
#else
#define ADMITS(x) !p[x].sealed
#endif
#ifdef M_HANDOVER_RECORDS
#define RECORDS(x) 1
#else
#define RECORDS(x) !p[x].sealed
#endif
#define COVERED(m) ((m) & 2 -> 2 : ((m) & 1 -> 1 : 0))
#else
#define SEALED(x) 0
#define ADMITS(x) 1
#endif

/* observe: y is paused for longer than the silence bound and an observer sees
 * it silent. y detects the pause at its next event and is then unconfirmed. */
inline observe(y) {
#ifndef M_IGNORE_GAP
#ifdef W_CONFIRM_OLD_WRITE
	p[y].confirmed = 0
#else
	p[y].confirmed = 0;
	if
	:: cas.on && cas.by == y && cas.byinc == p[y].inc -> cas.fresh = 0
	:: else -> skip
	fi;
	p[y].landed = 0
#endif
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

inline forgetLearner(x) {
#ifdef REPLACE
	p[x].next = NONE;
	p[x].nextinc = 0;
	p[x].copy = COPYING;
	p[x].nextacked = 0;
#endif
	skip
}

inline forgetNote(x) {
#ifdef HANDOVER
	p[x].noted = 0;
	p[x].note = 0;
	p[x].noterunner = NONE;
#endif
	skip
}

inline unseal(x) {
#ifdef HANDOVER
	p[x].sealed = 0;
	p[x].ready = 0;
	p[x].queued = 0;
#endif
	skip
}

/* The tasks that the intents of a record cover. */
#define COVER(r) ((1 << UPTO(r)) - 1)

/* takeover: x becomes the owner with the records that it holds. After a view
 * that makes it the owner, it also uses its handover message. */
inline takeover(x, handed) {
	p[x].role = OWNER;
	p[x].peer = NONE;
	p[x].peerinc = 0;
	p[x].learning = 0;
	p[x].promised = 0;
	p[x].acked = 0;
	forgetLearner(x);
#ifdef HANDOVER
	p[x].remote = (handed && p[x].noted -> p[x].note & ~DONE(p[x].rec) : 0);
	p[x].runner = (p[x].remote -> p[x].noterunner : NONE);
	forgetNote(x);
	p[x].sent = DONE(p[x].rec) | p[x].remote;
#else
	p[x].sent = DONE(p[x].rec);
#endif
	if
	:: FINAL(p[x].rec) == 0 && (p[x].sent & COVER(p[x].rec)) != COVER(p[x].rec) ->
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
	forgetLearner(x);
	forgetNote(x);
#ifdef REPLACE
	p[x].released = 0;
#endif
#ifdef HANDOVER
	p[x].sealed = 0;
	p[x].ready = 0;
	p[x].remote = 0;
	p[x].runner = NONE;
#endif
#ifndef W_KEEP_RECORDS
	p[x].rec = 0;
#endif
	p[x].floor = 0;
	p[x].confirmed = 1;
	p[x].landed = 0
}

/* keepMembers: the owner x uses the replica of a newer view. */
inline keepMembers(x) {
#ifdef REPLACE
	if
	:: vreplica != NONE && vreplica == p[x].peer && vreplicainc == p[x].peerinc -> skip
	:: vreplica != NONE && vreplica == p[x].next && vreplicainc == p[x].nextinc -> p[x].acked = p[x].nextacked
	:: else -> p[x].acked = 0
	fi;
	if
	:: p[x].next != NONE && (p[x].copy != COPYING || (vreplica == p[x].next && vreplicainc == p[x].nextinc)) -> forgetLearner(x)
	:: else -> skip
	fi;
#else
	p[x].acked = 0;
#endif
	p[x].peer = vreplica;
	p[x].peerinc = vreplicainc;
	p[x].learning = 0
}

/* adopt: x reads a newer view. */
inline adopt(x) {
	if
#ifdef REPLACE
	:: p[x].role == LEARNER && !ISREPLICA(x) && vowner == p[x].peer && vownerinc == p[x].peerinc ->
		p[x].ver = ver          /* it continues learning */
	:: (p[x].role != LEARNER || vowner != p[x].peer || vownerinc != p[x].peerinc) && !ISOWNER(x) && !ISREPLICA(x) ->
#else
	:: !ISOWNER(x) && !ISREPLICA(x) ->
#endif
		leave(x);
		p[x].ver = 0
	:: else ->
#if defined(REPLACE) && !defined(M_REPLACE_OLD_RELEASE)
		p[x].released = 0;
#endif
		if
		:: ISOWNER(x) && p[x].role == OWNER ->
			keepMembers(x);
			unseal(x)
		:: ISOWNER(x) && p[x].role == REPLICA ->
#ifdef HANDOVER
			/* A handover alone leaves no task as "may have run". */
			assert(vreplica == NONE || FINAL(p[x].rec) != 0 ||
				((DONE(p[x].rec) | p[x].note) & COVER(p[x].rec)) == COVER(p[x].rec));
#endif
			takeover(x, 1);
			p[x].peer = vreplica;
			p[x].peerinc = vreplicainc
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
#ifdef HANDOVER
			if
			:: p[x].role == OWNER ->
				p[x].sent = 0;
				p[x].remote = 0;
				p[x].runner = NONE;
				p[x].sealed = 0;
				p[x].ready = 0
			:: else -> skip
			fi;
#endif
			p[x].role = REPLICA;
			p[x].peer = vowner;
			p[x].peerinc = vownerinc;
			p[x].learning = 0;
			p[x].promised = 0;
			p[x].acked = 0;
			forgetLearner(x)
		fi;
		p[x].ver = ver;
		p[x].confirmed = (p[x].landed -> 1 : p[x].confirmed);
		p[x].landed = 0
	fi
}

/* learn: y becomes a learner of x, and x waits for its acknowledgements. With
 * REPLACE x waits for them only later. */
inline learn(x, y) {
	p[y].role = LEARNER;
	p[y].ver = p[x].ver;
	p[y].peer = x;
	p[y].peerinc = p[x].inc;
	p[y].promised = 0;
	p[y].floor = p[x].floor;
#ifdef REPLACE
	p[y].rec = p[x].rec;    /* the snapshot */
	p[x].next = y;
	p[x].nextinc = p[y].inc
#else
	p[y].rec = 0;
	p[x].peer = y;
	p[x].peerinc = p[y].inc;
	p[x].learning = 1;
	p[x].acked = 0
#endif
}

#ifdef REPLACE
#define CANLEARN(x, y) (p[y].alive && p[y].pc == IDLE && (p[y].role == OUT || p[y].role == LEARNER) && y != p[x].peer)
#define CANGAIN(x) (OWNS(x) && FAULTY && p[x].confirmed && p[x].next == NONE && ver == p[x].ver && ISOWNER(x) && \
	vreplica == p[x].peer && !SEALED(x))
#else
#define CANLEARN(x, y) (p[y].alive && p[y].pc == IDLE && p[y].role == OUT)
#define CANGAIN(x) (OWNS(x) && FAULTY && p[x].confirmed && p[x].peer == NONE && ver == p[x].ver && ISOWNER(x) && vreplica == NONE)
#endif

inline send(i) {
	assert((started & (1 << i)) == 0);      /* one start per task */
	assert((notrun & (1 << i)) == 0);       /* "not run" stays true */
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
#define CANACK(x, y, i) (!DEAD(y, i) && p[y].pc == IDLE && \
	(p[y].role == REPLICA || p[y].role == LEARNER) && p[y].peer == x && \
	p[y].peerinc == p[x].inc && p[y].ver == p[x].ver && KEEPSACKING(y))

#ifdef N_ACK_AFTER_PROMISE
#define KEEPSACKING(y) 1
#else
#define KEEPSACKING(y) (!p[y].promised)
#endif

#ifdef REPLACE
#define FOLLOWED(x) (OWNS(x) && p[x].next != NONE)
#define HASREPLICA(x) (p[x].peer != NONE && !DEAD(p[x].peer, p[x].peerinc) && p[p[x].peer].pc == IDLE && \
	p[p[x].peer].role == REPLICA && p[p[x].peer].peer == x && p[p[x].peer].peerinc == p[x].inc && \
	p[p[x].peer].ver == p[x].ver)
#if defined(M_REPLACE_EARLY)
#define CAUGHTUP(x) (p[x].copy != COPYING)
#elif defined(M_REPLACE_LATE)
#define CAUGHTUP(x) (p[x].nextacked == p[x].rec)
#else
#define CAUGHTUP(x) (p[x].copy == JOINED)
#endif
#define NAMES(x) (FOLLOWED(x) && CANWRITE && ver == p[x].ver && ISOWNER(x) && CAUGHTUP(x))
#ifdef M_REPLACE_UNASKED
#define MAYREPLACE(x) 1
#else
#define MAYREPLACE(x) p[x].released
#endif
#if defined(M_REPLACE_ACTS)
#define MAYACT(x) 1
#else
#define MAYACT(x) !p[x].released
#endif
#ifdef M_CALM_RELEASED_WAITS
#define MAYTAKE(x) !p[x].released
#else
#define MAYTAKE(x) 1
#endif
#else
#define MAYACT(x) 1
#define MAYTAKE(x) 1
#endif

/* The owner stops waiting for lost results. Callers cancel too, but only while
 * there are faults, because the answers would hide that one is missing. */
#if defined(HANDOVER) && !defined(M_CALM_AWAITS_LOST)
#define LOST(x) (p[x].remote && (p[x].remote & ~(p[p[x].runner].running | p[p[x].runner].queued)))
#else
#define LOST(x) 0
#endif
#ifdef REPLACE
#define MAYGIVEUP(x) LOST(x)
#else
#define MAYGIVEUP(x) (FAULTY || LOST(x))
#endif

#ifdef HANDOVER
#ifdef REPLACE
#define HANDABLE(x) (p[x].peer != NONE && vreplica == p[x].peer && (p[x].next == NONE || p[x].copy == COPYING))
#else
#define HANDABLE(x) (p[x].peer != NONE && vreplica == p[x].peer && !p[x].learning)
#endif
#ifdef M_HANDOVER_TAKES_STARTED
#define TAKEBACK(x) COVERED(DONE(p[x].rec))
#else
#define TAKEBACK(x) COVERED(STARTED(x))
#endif
#ifdef M_HANDOVER_UNLISTED
#define INFLIGHT(x) 0
#else
#define INFLIGHT(x) ((p[x].sent | p[x].remote | p[x].queued) & ~DONE(p[x].rec))
#endif
#ifdef W_HANDOVER_QUEUED_UNLISTED
#define QUEUED(x) 0
#else
#define QUEUED(x) (COVER(p[x].rec) & ~STARTED(x))
#endif
#ifdef M_HANDOVER_UNSEALED
#define MAYUNSEAL(x) 1
#else
#define MAYUNSEAL(x) (!(cas.on && cas.by == x && cas.byinc == p[x].inc) && \
	(ver == p[x].ver || ver == p[x].ver + 1 && (vby != x || vbyinc != p[x].inc)))
#endif
#ifdef M_HANDOVER_UNACKED
#define MAYHAND(x) 1
#else
#define MAYHAND(x) p[x].ready
#endif

inline decide(x, i) {
	p[x].sent = p[x].sent | (1 << i);
	p[x].running = p[x].running | (1 << i);
	p[x].unsent = p[x].unsent | (1 << i)
}

/* The current owner that waits for the report of x, or the owner x itself. */
#ifdef M_HANDOVER_ANY_RESULT
#define WAITS(y, x) (OWNS(y) && !p[y].sealed)
#else
#define WAITS(y, x) (OWNS(y) && !p[y].sealed && p[y].remote && p[y].runner == x)
#endif
#define REPORTS(x) ((p[x].role == OWNER && p[x].pc == IDLE && RECORDS(x)) || \
	(p[x].role != OWNER && (WAITS((x + 1) % NI, x) || WAITS((x + 2) % NI, x))))
#define TAKER(x) (p[x].role == OWNER -> x : (WAITS((x + 1) % NI, x) -> (x + 1) % NI : (x + 2) % NI))

inline taken(x, i) {
	p[x].running = p[x].running & ~(1 << i);
	p[x].unsent = p[x].unsent & ~(1 << i);
	p[x].queued = p[x].queued & ~(1 << i)
}

/* The owner is waiting for the outcome of task i, which x started. */
#ifdef M_HANDOVER_ANY_RESULT
#define AWAITED(x, i) 1
#else
#define AWAITED(x, i) ((p[taker].sent & (1 << (i))) && (taker == x || (p[taker].remote & (1 << (i)))))
#endif

/* refused: the start of task i by x is never sent; its owner requeues it. */
inline refused(x, i) {
	taker = TAKER(x);
	if
	:: AWAITED(x, i) ->
		p[taker].sent = p[taker].sent & ~(1 << i);
		unawait(i)
	:: else -> skip
	fi;
	taken(x, i);
	taker = 0
}

inline unawait(i) {
	p[taker].remote = p[taker].remote & ~(1 << i);
	p[taker].runner = (p[taker].remote -> p[taker].runner : NONE)
}

/* reported: the result of task i, which x started, reaches the owner. */
inline reported(x, i) {
	taker = TAKER(x);
	if
	:: FINAL(p[taker].rec) == 0 && AWAITED(x, i) ->
		p[taker].rec = p[taker].rec | RESULT(i);
		unawait(i)
	:: else -> skip
	fi;
	taken(x, i);
	taker = 0
}
#endif

#ifdef W_SILENCE_FIRST
#define GONE(x, y, i) (DEAD(y, i) || (suspect[x] & (1 << y)))
#else
#define GONE(x, y, i) (FAULTY || DEAD(y, i))
#endif
#define CANREPLACE(x) (AT(x, IDLE) && CANWRITE && !ISOWNER(x) && !ISREPLICA(x) && \
	(p[x].role == OUT || p[x].ver == ver) && GONE(x, vowner, vownerinc) && \
	(vreplica == NONE || GONE(x, vreplica, vreplicainc)))

/* replace: x, which holds no records, replaces members that are all dead or
 * silent. Its clock is read after the silence. */
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
	/* A submission arrives: the first one, a resubmission or a late duplicate. */
	:: d_step { OWNS(x) && ADMITS(x) && p[x].confirmed && p[x].rec == 0 && p[x].floor <= SUBMITTED &&
		now + SKEW >= SUBMITTED - SKEW -> p[x].pc = ADMIT }
	:: d_step { AT(x, ADMIT) -> p[x].rec = CLAIM; p[x].pc = IDLE }
#ifndef REPLACE
	:: d_step { AT(x, ADMIT) -> p[x].pc = IDLE;
#ifdef W_REFUSAL_UNRECORDED
		assert(started == 0); notrun = ALL
#else
		p[x].rec = CLAIM | FINAL_IS(REFUSED)
#endif
		}
#endif
#ifdef W_AHEAD_NOT_RUN
	:: d_step { OWNS(x) && p[x].confirmed && p[x].rec == 0 && p[x].floor <= SUBMITTED &&
		now - SKEW + SKEW < SUBMITTED && notrun != ALL -> assert(started == 0); notrun = ALL }
#endif

	/* The owner processes the job. */
	:: d_step { OWNS(x) && !SEALED(x) && p[x].confirmed && (p[x].rec & CLAIM) && FINAL(p[x].rec) == 0 && UPTO(p[x].rec) < NT ->
		p[x].rec = p[x].rec + ONE_INTENT }
#ifdef HANDOVER
	:: d_step { OWNS(x) && !SEALED(x) && p[x].confirmed && FINAL(p[x].rec) == 0 && UPTO(p[x].rec) > 0 &&
		!(STARTED(x) & 1) && MAYSTART(x, 0) -> decide(x, 0) }
#if NT > 1
	:: d_step { OWNS(x) && !SEALED(x) && p[x].confirmed && FINAL(p[x].rec) == 0 && UPTO(p[x].rec) > 1 &&
		!(STARTED(x) & 2) && MAYSTART(x, 1) -> decide(x, 1) }
#endif
#else
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
#endif
	:: d_step { OWNS(x) && !SEALED(x) && FINAL(p[x].rec) == 0 && DONE(p[x].rec) == ALL -> p[x].rec = p[x].rec | FINAL_IS(COMPLETE) }
	:: d_step { OWNS(x) && !SEALED(x) && (p[x].rec & CLAIM) && FINAL(p[x].rec) == 0 && DONE(p[x].rec) != ALL && MAYGIVEUP(x) ->
		p[x].rec = p[x].rec | FINAL_IS(FAILED) }        /* cancelled, or past its deadline */
	:: d_step { OWNS(x) && FINAL(p[x].rec) != 0 && MAYANSWER(x) && answered != p[x].rec -> tell(x) }

	/* Replication: the peer stores the record; the acknowledgement may be lost. */
	:: d_step { OWNS(x) && p[x].peer != NONE && CANACK(x, p[x].peer, p[x].peerinc) && p[p[x].peer].rec != p[x].rec ->
		p[p[x].peer].rec = p[x].rec }
	:: d_step { OWNS(x) && p[x].peer != NONE && CANACK(x, p[x].peer, p[x].peerinc) &&
		p[p[x].peer].rec == p[x].rec && p[x].acked != p[x].rec -> p[x].acked = p[x].rec }
#ifdef M_PROMISE_BROKEN
	/* The replica acknowledges the old version although it has promised not to;
	 * the records of its takeover were fixed at the promise. */
	:: d_step { OWNS(x) && p[x].peer != NONE && !DEAD(p[x].peer, p[x].peerinc) &&
		(p[p[x].peer].promised || p[p[x].peer].ver > p[x].ver) && p[x].acked != p[x].rec -> p[x].acked = p[x].rec }
#endif

	/* Proof of death. */
	:: d_step { AT(x, IDLE) && p[x].role == REPLICA && p[x].confirmed && DEAD(p[x].peer, p[x].peerinc) && MAYACT(x) -> p[x].pc = ACT }
	:: d_step { AT(x, ACT) -> p[x].pc = IDLE; takeover(x, 0) }
	:: d_step { OWNS(x) && p[x].confirmed && p[x].peer != NONE && DEAD(p[x].peer, p[x].peerinc) ->
		p[x].peer = NONE; p[x].peerinc = 0; p[x].learning = 0; p[x].acked = 0; unseal(x) }
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

	/* The view is read, also after a write whose answer was lost. */
	:: d_step { AT(x, IDLE) && ver > p[x].ver && (p[x].role != OUT || ISOWNER(x) || ISREPLICA(x)) -> adopt(x) }
	/* An instance that is not in the view is confirmed by a read. */
	:: d_step { AT(x, IDLE) && !p[x].confirmed && p[x].role == LEARNER && p[x].ver == ver &&
		!ISOWNER(x) && !ISREPLICA(x) -> p[x].confirmed = 1 }
#ifdef W_CONFIRM_BY_READ
	:: d_step { AT(x, IDLE) && ver == p[x].ver && !p[x].confirmed && (ISOWNER(x) || ISREPLICA(x)) -> p[x].confirmed = 1 }
#endif

	/* Writes of the view. Every silence is observed after the read of the
	 * version that the write expects. */
#ifndef W_CONFIRM_BY_READ
	:: d_step { AT(x, IDLE) && CANWRITE && ver == p[x].ver && !p[x].confirmed && (ISOWNER(x) || ISREPLICA(x)) ->
		issue(x, vowner, vownerinc, vreplica, vreplicainc, vfloor) }
#endif
#ifndef M_CALM_NO_RENEWAL
	/* A promise without a takeover ends with a new view of the same members. */
	:: d_step { AT(x, IDLE) && CANWRITE && ver == p[x].ver && p[x].confirmed && p[x].promised && p[x].role == REPLICA &&
		ISREPLICA(x) && vowner == p[x].peer -> issue(x, vowner, vownerinc, vreplica, vreplicainc, vfloor) }
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
		GONE(x, vowner, vownerinc) && MAYTAKE(x) -> p[x].promised = 1;
#ifndef W_SILENCE_FIRST
		observeIfAlive(vowner, vownerinc);
#endif
		issue(x, x, p[x].inc, NONE, 0, vfloor) }
	:: d_step { CANREPLACE(x) -> replace(x, now - SKEW) }   /* the slowest clock */
#ifdef W_SILENCE_FIRST
	:: d_step { AT(x, IDLE) && !(suspect[x] & (1 << ((x + 1) % NI))) -> observe((x + 1) % NI); suspect[x] = suspect[x] | (1 << ((x + 1) % NI)) }
	:: d_step { AT(x, IDLE) && !(suspect[x] & (1 << ((x + 2) % NI))) -> observe((x + 2) % NI); suspect[x] = suspect[x] | (1 << ((x + 2) % NI)) }
#endif

	:: d_step { AT(x, IDLE) && FAULTY && p[x].role == REPLICA && !p[x].promised -> p[x].promised = 1 }

	/* A member is added. */
	:: d_step { CANGAIN(x) && CANLEARN(x, (x + 1) % NI) -> learn(x, (x + 1) % NI) }
	:: d_step { CANGAIN(x) && CANLEARN(x, (x + 2) % NI) -> learn(x, (x + 2) % NI) }
	:: d_step { OWNS(x) && CANWRITE && ver == p[x].ver && ISOWNER(x) && p[x].learning && p[x].acked == p[x].rec &&
		p[p[x].peer].rec == p[x].rec ->
		issue(x, x, p[x].inc, p[x].peer, p[x].peerinc, vfloor) }

#ifdef REPLACE
	/* A learner catches up, is lost, or is dropped before commits wait for it. */
	:: d_step { FOLLOWED(x) && p[x].copy != COPYING && CANACK(x, p[x].next, p[x].nextinc) &&
		p[p[x].next].rec != p[x].rec -> p[p[x].next].rec = p[x].rec }
	:: d_step { FOLLOWED(x) && p[x].copy != COPYING && CANACK(x, p[x].next, p[x].nextinc) &&
		p[p[x].next].rec == p[x].rec && (p[x].nextacked != p[x].rec || p[x].copy == JOINING) ->
		p[x].nextacked = p[x].rec;
		p[x].copy = JOINED }
	:: d_step { FOLLOWED(x) && p[x].confirmed && DEAD(p[x].next, p[x].nextinc) -> forgetLearner(x) }
	:: d_step { FOLLOWED(x) && FAULTY && p[x].copy == COPYING -> forgetLearner(x) }
#ifdef W_REPLACE_GIVEN_UP
	:: d_step { FOLLOWED(x) && p[x].confirmed -> forgetLearner(x) }
#endif
	:: d_step { FOLLOWED(x) && p[x].confirmed && p[x].copy == COPYING -> p[x].copy = JOINING }

	/* The replica promises not to act on its owner's death; the answer may be lost. */
	:: d_step { FOLLOWED(x) && p[x].copy == JOINED && HASREPLICA(x) && !p[p[x].peer].released -> p[p[x].peer].released = 1 }
	:: d_step { FOLLOWED(x) && HASREPLICA(x) && p[p[x].peer].released && !p[x].released -> p[x].released = 1 }

	/* The learner becomes a member and replaces the replica, if any. */
	:: d_step { NAMES(x) && (p[x].peer == NONE || MAYREPLACE(x)) ->
		issue(x, x, p[x].inc, p[x].next, p[x].nextinc, vfloor) }
	:: d_step { NAMES(x) && p[x].peer != NONE && GONE(x, p[x].peer, p[x].peerinc) -> observeIfAlive(p[x].peer, p[x].peerinc);
		issue(x, x, p[x].inc, p[x].next, p[x].nextinc, vfloor) }
	/* The learner is lost while commits wait for it. */
	:: d_step { FOLLOWED(x) && CANWRITE && ver == p[x].ver && ISOWNER(x) && p[x].copy != COPYING &&
		GONE(x, p[x].next, p[x].nextinc) -> observeIfAlive(p[x].next, p[x].nextinc);
		issue(x, x, p[x].inc, p[x].peer, p[x].peerinc, vfloor) }
#endif

#ifdef HANDOVER
	/* The owner seals and revokes the intents of tasks that it has not started. */
	:: d_step { OWNS(x) && FAULTY && p[x].confirmed && !p[x].sealed && ver == p[x].ver && ISOWNER(x) && HANDABLE(x) ->
		p[x].sealed = 1; p[x].ready = 0;
		if
		:: FINAL(p[x].rec) == 0 && UPTO(p[x].rec) > TAKEBACK(x) ->
			p[x].rec = (p[x].rec & ~6) | (TAKEBACK(x) << 1);
			p[x].acked = 0
		:: else -> skip
		fi;
		if
		:: FINAL(p[x].rec) == 0 -> p[x].queued = QUEUED(x)
		:: else -> skip
		fi }
	/* The target acknowledges up to the handover message, and so has everything. */
	:: d_step { OWNS(x) && p[x].sealed && !p[x].ready && p[x].peer != NONE && CANACK(x, p[x].peer, p[x].peerinc) &&
		p[p[x].peer].rec == p[x].rec ->
		p[x].acked = p[x].rec;
		p[x].ready = 1;
		p[p[x].peer].noted = 1;
		p[p[x].peer].note = INFLIGHT(x);
		p[p[x].peer].noterunner = (p[x].remote -> p[x].runner : x) }
	:: d_step { OWNS(x) && CANWRITE && ver == p[x].ver && ISOWNER(x) && p[x].sealed && p[x].peer != NONE && MAYHAND(x) ->
		issue(x, p[x].peer, p[x].peerinc, x, p[x].inc, vfloor) }
	/* A write that has definitely failed ends the handover. */
	:: d_step { OWNS(x) && FAULTY && p[x].sealed && MAYUNSEAL(x) -> unseal(x) }
#ifdef M_HANDOVER_STARTS
	:: d_step { OWNS(x) && p[x].sealed && p[x].confirmed && p[x].ready && (p[x].rec & CLAIM) && FINAL(p[x].rec) == 0 &&
		!(STARTED(x) & 1) -> decide(x, 0) }
#endif

	/* Starts are sent later than they were decided, or never. */
	:: d_step { p[x].alive && (p[x].unsent & 1) -> p[x].unsent = p[x].unsent & ~1; send(0) }
	:: d_step { p[x].alive && ((p[x].unsent | p[x].queued) & 1) && REPORTS(x) -> refused(x, 0) }
	:: d_step { p[x].alive && (p[x].running & ~p[x].unsent & 1) && REPORTS(x) -> reported(x, 0) }
	:: d_step { p[x].alive && ((p[x].running & ~p[x].unsent | p[x].queued) & 1) && p[x].role != OWNER && FAULTY -> taken(x, 0) }    /* lost */
#if NT > 1
	:: d_step { p[x].alive && (p[x].unsent & 2) -> p[x].unsent = p[x].unsent & ~2; send(1) }
	:: d_step { p[x].alive && ((p[x].unsent | p[x].queued) & 2) && REPORTS(x) -> refused(x, 1) }
	:: d_step { p[x].alive && (p[x].running & ~p[x].unsent & 2) && REPORTS(x) -> reported(x, 1) }
	:: d_step { p[x].alive && ((p[x].running & ~p[x].unsent | p[x].queued) & 2) && p[x].role != OWNER && FAULTY -> taken(x, 1) }
#endif
#endif
	od
}

inline land() {
#ifdef HANDOVER
	/* At a handover both hold the same records, so sequence numbers continue. */
	assert(cas.owner == vowner || cas.replica != vowner || cas.replicainc != vownerinc ||
		DEAD(cas.owner, cas.ownerinc) || DEAD(vowner, vownerinc) || p[cas.owner].rec == p[vowner].rec);
#endif
	vowner = cas.owner;
	vownerinc = cas.ownerinc;
	vreplica = cas.replica;
	vreplicainc = cas.replicainc;
	vfloor = (cas.floor > vfloor -> cas.floor : vfloor);
#ifdef HANDOVER
	vby = cas.by;
	vbyinc = cas.byinc;
#endif
	if
	:: cas.fresh && !DEAD(cas.by, cas.byinc) -> p[cas.by].landed = 1
	:: else -> skip
	fi;
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
#ifdef HANDOVER
	p[x].running = 0;
	p[x].unsent = 0;
	p[x].queued = 0;
#endif
	p[x].rec = 0;
	p[x].alive = 0;
	p[x].ver = 0;
	p[x].pc = IDLE
}

proctype World() {
	do
	:: d_step { now < MAXNOW -> now++ }
	:: d_step { cas.on -> land() }
	:: d_step { FAULTY && !DEAD(vowner, vownerinc) && p[vowner].confirmed -> observe(vowner) }
	:: d_step { FAULTY && vreplica != NONE && !DEAD(vreplica, vreplicainc) && p[vreplica].confirmed -> observe(vreplica) }
	:: d_step { FAULTY && kills < MAXKILL && p[0].alive -> kill(0) }
	:: d_step { FAULTY && kills < MAXKILL && p[1].alive -> kill(1) }
	:: d_step { FAULTY && kills < MAXKILL && p[2].alive -> kill(2) }
	:: d_step { !p[0].alive && p[0].inc == 0 -> p[0].alive = 1; p[0].inc = 1 }
	:: d_step { !p[1].alive && p[1].inc == 0 -> p[1].alive = 1; p[1].inc = 1 }
	:: d_step { !p[2].alive && p[2].inc == 0 -> p[2].alive = 1; p[2].inc = 1 }
#ifdef CALM
	:: d_step { !calm -> calm = 1 }
	/* No step is possible: the job was answered, or its key is too old. */
	:: d_step { timeout -> assert(answered != 0 || (vfloor > SUBMITTED && p[vowner].rec == 0)) }
#endif
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
#ifdef REPLACE
		p[0].next = NONE;
		p[1].next = NONE;
		p[2].next = NONE;
#endif
#ifdef HANDOVER
		p[0].runner = NONE;
		p[1].runner = NONE;
		p[2].runner = NONE;
		p[0].noterunner = NONE;
		p[1].noterunner = NONE;
		p[2].noterunner = NONE;
#endif
		p[0].role = OWNER;
		p[0].ver = 1;
		p[1].ver = 1;
		p[2].ver = 1
	}
	if
	:: d_step { true -> vreplica = 1; p[0].peer = 1; p[1].role = REPLICA; p[1].peer = 0 }
#if !defined(REPLACE) && !defined(HANDOVER)
	:: skip
#endif
	fi;
	atomic {
		run Instance(0);
		run Instance(1);
		run Instance(2);
		run World()
	}
}
