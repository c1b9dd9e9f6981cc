/* One stored job: its holder, a peer that the holder knows, and an instance that joins at
 * any step and knows neither. The store turns the holder and the peer away and serves them
 * again, and drops the entry of one that it turns away at any time. Links go down and up.
 *
 * A step is a unit of time. The runs of a holder end within the step after it stops, and
 * one that takes the job over starts it in the step after that, so that both act on what
 * they know of the same step.
 *
 * Checked: the job's holder doesn't act when another one starts the job.
 *
 * The rules are those of internal/fleet (takeover.go, members.go, inquiry.go):
 *   M_UNLISTED_ENDED   a holder that was never heard and isn't listed counts as ended
 *   M_NOT_ASKED        the newcomer waits, but doesn't ask the peer
 *   M_SILENCE_COUNTS   the newcomer's wait includes steps in which a listed peer hasn't reported
 *   M_NO_RENEWAL       the holder goes on while all hear it, whoever has renewed its entry
 *   M_SHORT_MISSING    the holder needn't be missing for as long as it counts on its entry
 *   M_SHORT_UNHEARD    a holder that nobody hears needn't be missing for longer than it may go on
 *   M_NOT_VERIFIED     a holder that the store serves again doesn't ask whose the job is
 *   ALONE              the holder has no peer
 */

#define LEASE 2   /* an entry lasts */
#define HOLD 2    /* a holder counts on its last renewal */
#define OUTAGE 4  /* it goes on while all hear it */
#ifdef M_SHORT_UNHEARD
#define UNHEARD 6
#else
#define UNHEARD 7 /* it is missing, and not heard by anyone: longer than both together */
#endif
#ifdef M_SHORT_MISSING
#define MISSING 1
#else
#define MISSING 3 /* it is missing, if it was heard before */
#endif
#define MAX 8

#define HOLDER 0
#define PEER 1
#define NEWCOMER 2
#define NOBODY 3

byte record = HOLDER; /* the holder named by the store */
byte starts = NOBODY; /* who starts the job in the next step */

bool verified = true; /* the holder acts */
bool listed = true;
byte renewal = 0; /* steps since the holder's last renewal */
byte missing = 0; /* steps since the holder's entry has gone */

bool peerListed = true;
byte peerRenewal = 0;

bool joined = false;
bool dials = false; /* the newcomer knows the holder's address */
bool heard = false; /* the newcomer has heard the holder, and the holder the newcomer */
byte quiet = 0;     /* steps without an entry in which the listed peer reports that it doesn't hear the holder */

bool served, peerServed, linkPeer, linkNew, linkBetween, drops;

#define older(x) x = (x < MAX -> x + 1 : MAX)

inline any(x) { if :: x = true :: x = false fi }

#ifdef ALONE
#define peerThere false
#else
#define peerThere true
#endif
#define peerHears (peerThere && linkPeer)
#define heardByAll ((!peerThere || linkPeer) && (!heard || linkNew))
#ifdef M_NO_RENEWAL
#define renewed true
#else
#define renewed (renewal <= OUTAGE || peerHears && peerRenewal <= OUTAGE || heard && linkNew)
#endif

/* The store and the links in this step. */
inline environment() {
  any(served); any(peerServed); any(linkPeer); any(linkNew); any(linkBetween); any(drops);
  if
  :: served -> renewal = 0; listed = true
  :: else -> older(renewal); listed = listed && renewal < LEASE && !drops
  fi;
  if
  :: peerServed -> peerRenewal = 0; peerListed = peerThere
  :: else -> older(peerRenewal); peerListed = peerListed && peerRenewal < LEASE && !drops
  fi;
  if
  :: listed -> missing = 0
  :: else -> older(missing)
  fi;
  if
  :: !joined -> any(joined)
  :: else
  fi
}

#ifdef M_NOT_ASKED
#define told false
#else
#define told (peerHears && linkBetween)
#endif
#if defined(M_NOT_ASKED) || defined(M_SILENCE_COUNTS)
#define unreported false
#else
#define unreported (peerListed && !linkBetween)
#endif

/* What the newcomer learns of the holder. */
inline inquire() {
  if
  :: !joined -> skip
  :: joined && (listed || told) -> quiet = 0; dials = true
  :: joined && !listed && !told && unreported -> quiet = 0
  :: joined && !listed && !told && !unreported -> older(quiet)
  fi;
  heard = heard || dials && linkNew
}

/* Whether the holder acts. */
inline hold() {
  if
#ifdef M_NOT_VERIFIED
  :: served -> verified = true
#else
  :: served -> verified = (record == HOLDER)
#endif
  :: !served && renewal > HOLD && !(heardByAll && renewed) -> verified = false
  :: else
  fi
}

#define reportedEnded (peerThere && linkBetween && !linkPeer && quiet >= MISSING)
#ifdef M_UNLISTED_ENDED
#define unheard true
#elif defined(M_NOT_ASKED)
#define unheard (quiet >= UNHEARD)
#else
#define unheard (quiet >= UNHEARD && (!peerListed || linkBetween))
#endif

/* Who takes the job over. */
inline take() {
  if
  :: record == HOLDER && !listed && peerThere && peerServed && !linkPeer && missing >= MISSING ->
    record = PEER; starts = PEER
  :: record == HOLDER && !listed && joined && heard && !linkNew && missing >= MISSING ->
    record = NEWCOMER; starts = NEWCOMER
  :: record == HOLDER && !listed && joined && !heard && (reportedEnded || unheard) ->
    record = NEWCOMER; starts = NEWCOMER
  :: true
  fi
}

active proctype system() {
  bool due;
  do
  :: atomic {
      due = (starts != NOBODY);
      environment();
      inquire();
      hold();
      assert(!(due && verified));
      starts = NOBODY;
      if
      :: !due -> take()
      :: else
      fi
    }
  od
}
