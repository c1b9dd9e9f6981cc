/* One task at a backend server that may crash and come back under its ID without its
 * fencing token, its stops and its clock, while a start that was sent earlier may be
 * carried out late, also by a later life of the server.
 *
 * One owner starts the task there. When it takes that start for settled it starts the
 * task elsewhere; a job that is submitted again at another instance does the same. The
 * owner learns of a restart from the list that a poll returns.
 *
 * Checked: the task never runs at both places.
 *
 * Without a macro the rules are those of internal/fleet, with the bound that they lack:
 * a task whose start went unanswered is started elsewhere only once that start can't be
 * carried out any more and what it may have begun has lapsed.
 *
 *   M_NO_BOUND      the rules of internal/fleet as they are, without that bound
 *   M_NO_LAPSE      the bound ends when the start can't be carried out any more
 * The following replace the bound:
 *   W_STOP_AGAIN    stops that an earlier life has answered are repeated
 *   W_TOKEN_LATE    a higher token is taken once a restart is noticed
 *   W_TOKEN_EARLY   a higher token is taken before an unanswered start counts as settled
 *   NAMED_LIFE      a start names the life that it is meant for, and others refuse it
 * Assumptions:
 *   NO_RESTART      the server has one life
 *   CALLED_FIRST    no earlier start is carried out in a life before the owner's first call
 */

#ifndef LIVES
#define LIVES 3
#endif

#if defined(M_NO_BOUND) || defined(W_STOP_AGAIN) || defined(W_TOKEN_LATE) || defined(W_TOKEN_EARLY) || defined(NAMED_LIFE)
#define bounded true
#elif defined(M_NO_LAPSE)
#define bounded (flying == 0)
#else
#define bounded (flying == 0 && !here)
#endif

#ifdef CALLED_FIRST
#define reached (called || life == 1)
#else
#define reached true
#endif

#ifdef NAMED_LIFE
#define named (meant == life)
#else
#define named true
#endif

/* The server. */
byte life = 1;
byte fence = 0;    /* highest token seen in this life */
bool stopped;      /* the start was forbidden in this life */
bool here;         /* the task runs here */
bool called;       /* the owner has called this life */

bool there;        /* the task runs elsewhere */

/* The start under way. */
byte flying;       /* its token, 0 for none */
byte meant;        /* life whose clock its lease counts by */
bool leaseOver;    /* its lease end has passed on that clock */

/* The owner. */
mtype = { IDLE, SENT, CONFIRMED, STOPPED, FREE, ELSEWHERE, ENDED };
mtype task = IDLE;
byte token = 1;
byte known = 1;    /* life of the server by the last list */

inline check() { assert(!(here && there)) }

/* call is what every call of the owner does at the server. */
inline call()
{
  fence = token;
  called = true
}

/* raise takes a higher token for the calls to come. */
inline raise()
{
#ifdef W_TOKEN_EARLY
  token = token + 1
#else
  skip
#endif
}

/* settle uses a list that the server returned. */
inline settle()
{
  if
  :: (task == CONFIRMED || task == STOPPED) && !here -> task = FREE
  :: task == SENT && here -> task = CONFIRMED
  :: else -> skip
  fi
}

proctype owner()
{
  do
  :: atomic { task == IDLE ->
       flying = token; meant = known; leaseOver = false; task = SENT }
  /* A poll. The list of a later life is used like any other, but under a new token. */
  :: d_step { task != IDLE && token >= fence ->
       call();
       if
       :: life != known ->
         known = life;
#ifdef W_STOP_AGAIN
         if
         :: task == STOPPED -> task = SENT
         :: else -> skip
         fi;
#endif
#ifdef W_TOKEN_LATE
         token = token + 1
#else
         settle()
#endif
       :: else -> settle()
       fi }
  /* A stop, as a poll hasn't listed the unanswered start. */
  :: d_step { task == SENT ->
       raise(); call(); stopped = true; here = false; task = STOPPED }
  /* A silent server whose lease has ended, by the owner's estimate of its clock. */
  :: d_step { (task == SENT || task == CONFIRMED || task == STOPPED) && meant == known && leaseOver ->
       raise(); task = FREE }
  :: atomic { task == FREE && bounded -> there = true; task = ELSEWHERE; check() }
  :: atomic { task == ELSEWHERE -> there = false; task = ENDED }
  od
}

proctype network()
{
  do
  /* The start is carried out, at any time; its reply may be lost. */
  :: atomic { flying > 0 && reached ->
       if
       :: flying >= fence && !stopped && named && !(meant == life && leaseOver) ->
         fence = flying; here = true; check();
         if
         :: task == SENT -> task = CONFIRMED
         :: true -> skip
         fi
       :: else -> skip
       fi;
       flying = 0 }
  :: d_step { !leaseOver && task != IDLE ->
       leaseOver = true;
       if
       :: meant == life -> here = false
       :: else -> skip
       fi }
  :: d_step { here -> here = false } /* the run ends, or lapses */
#ifndef NO_RESTART
  :: d_step { life < LIVES ->
       life++; fence = 0; stopped = false; here = false; called = false }
#endif
  od
}

init { atomic { run owner(); run network() } }
