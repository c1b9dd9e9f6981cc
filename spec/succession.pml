/* Control of one backend server with room for one run: its owner, the successors that
 * may take over while the store is down, and later owners by a write of the store.
 *
 * Holders act on what they believe at any later step: about the store's record, the
 * death of others, and the runs at the server. The server knows only its fencing token
 * and what runs. Commands arrive in any order, or much later, or never.
 *
 * Checked: the server never has more than one run.
 */

#define HOLDERS 4 /* the owner, two successors, a later life of the first one */
#ifndef MAXREV
#define MAXREV 3
#endif
#define RANKS 4 /* tokens reserved for one write */

byte revision = 1; /* of the record in the store */
byte owner = 0;    /* named by the record */
bool storeUp = true;

byte fence = 0; /* highest token that the server has seen */
byte present = 0; /* runs at the server */

byte flying[HOLDERS]; /* token of the start under way, 0 for none */

byte token[HOLDERS]; /* 0: doesn't control the server */
bool polled[HOLDERS]; /* the server was polled under this token */
bool busy[HOLDERS]; /* believes that the room is taken */

inline arrive(slot)
{
  d_step {
    if
    :: flying[slot] >= fence ->
      fence = flying[slot];
      present++;
      assert(present <= 1)
    :: else -> skip
    fi;
    flying[slot] = 0
  }
}

/* take controls the server under a token, unless it has a higher one. */
inline take(me, t)
{
  if
  :: t > token[me] ->
    token[me] = t;
#ifdef M_CONFIRM_WITHOUT_POLL
    polled[me] = polled[me];
#else
    polled[me] = false;
#endif
#ifdef M_START_WITHOUT_POLL
    polled[me] = true;
    busy[me] = false
#endif
  :: else -> skip
  fi
}

/* poll learns what runs, and shuts out lower tokens. */
inline poll(me)
{
  if
  :: token[me] >= fence ->
    fence = token[me];
    polled[me] = true;
    busy[me] = (present > 0)
  :: else -> token[me] = 0; polled[me] = false /* fenced */
  fi
}

/* settle forbids the own start under way and learns what runs. */
inline settle(me)
{
  if
  :: token[me] >= fence ->
    fence = token[me];
    flying[me] = 0;
    busy[me] = (present > 0)
  :: else -> token[me] = 0; polled[me] = false
  fi
}

proctype holder(byte me)
{
  do
  /* A claim by a write of the store, on whatever this holder believes. */
  :: atomic { storeUp && revision < MAXREV && me != 3 ->
       revision++; owner = me; take(me, revision * RANKS) }
  /* The first owner, or an owner that hears of its own write late. */
  :: atomic { owner == me && token[me] < revision * RANKS -> take(me, revision * RANKS) }
  /* A successor by rank, while the store is down: it may err about the owner's death. */
  :: atomic { !storeUp && (me == 1 || me == 2) ->
#ifdef M_SAME_TOKEN
       take(me, revision * RANKS + 1)
#else
       take(me, revision * RANKS + me)
#endif
     }
#ifdef M_LATER_LIFE
  /* A later life of the first successor takes its rank again. */
  :: atomic { !storeUp && me == 3 -> take(me, revision * RANKS + 1) }
#endif
  :: atomic { token[me] > 0 && flying[me] == 0 -> poll(me) }
  :: atomic { token[me] > 0 && polled[me] && !busy[me] && flying[me] == 0 ->
       flying[me] = token[me]; busy[me] = true }
  :: atomic { token[me] > 0 && polled[me] && flying[me] > 0 -> settle(me) }
  od
}

proctype network()
{
  byte i;
  do
  :: atomic { flying[0] > 0 -> arrive(0) }
  :: atomic { flying[1] > 0 -> arrive(1) }
  :: atomic { flying[2] > 0 -> arrive(2) }
  :: atomic { flying[3] > 0 -> arrive(3) }
  :: atomic { present > 0 -> present-- } /* a run ends */
  :: atomic { storeUp = !storeUp }
  od
}

init {
  atomic {
    run holder(0); run holder(1); run holder(2); run holder(3); run network()
  }
}
