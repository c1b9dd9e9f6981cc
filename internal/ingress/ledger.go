package ingress

import (
	"time"
)

// Costs in memory.
const (
	// connCost is what an idle connection takes: two goroutine stacks, the buffers of
	// net/http, and the received bytes that its socket buffer may hold.
	connCost = 24<<10 + socketBytes
	// lineCost is what a header line takes besides its bytes: key, value list and map
	// entry take 105 bytes, and the growing map as much again.
	lineCost = 256
	// byteCost is what a byte of a header takes: once in the line read, once as a string.
	byteCost = 2
	// ordinaryHeader is the cost of a header that connCost includes, about 60 lines.
	ordinaryHeader = 20 << 10
	// smallRequest is the cost up to which a request may use the part of the budget that
	// is kept for ordinary callers.
	smallRequest = 16 << 10
)

// minSilence is how long a request must have made no progress before it may be refused
// in favor of another: longer than the retransmission of a lost packet.
const minSilence = 500 * time.Millisecond

// progressBytes is how much must arrive to count as progress, so that a client that
// sends single bytes counts as silent.
const progressBytes = 1 << 10

// phase is what a connection does.
type phase uint8

// Phases of a connection, in the order in which they are given up at the limit of
// connections. A request that is being served is never given up.
const (
	phaseRefused phase = iota // answered, and about to be closed
	phaseNew                  // has sent nothing yet
	phaseHeader               // a header is being read
	phaseBody                 // a body is being read
	phaseIdle                 // between requests
	phaseServing
)

// entry is the account of a connection.
type entry struct {
	id         uint64 // in the order of arrival
	owner      *conn
	phase      phase
	beganAt    time.Duration // when the phase began
	progressAt time.Duration // when the last progressBytes of it were complete, or it began
	progress   int           // bytes since then
	held       int64         // reserved of the budget
}

// ledger decides which connections and how many bytes are admitted. It has no clock and
// no lock of its own.
type ledger struct {
	limits  Limits
	entries map[*entry]struct{}
	lastID  uint64
	used    int64
}

func newLedger(l Limits) *ledger {
	return &ledger{limits: l, entries: map[*entry]struct{}{}}
}

// admit adds a connection, for which victim must be closed unless it is nil. It returns
// nil if none can be closed for it.
func (l *ledger) admit(now time.Duration) (e, victim *entry) {
	if len(l.entries) >= l.limits.Conns {
		if victim = l.leastUseful(now); victim == nil {
			return nil, nil
		}
		l.remove(victim)
	}
	l.lastID++
	e = &entry{id: l.lastID, phase: phaseNew, progressAt: now}
	l.entries[e] = struct{}{}
	return e, victim
}

// leastUseful returns the connection to close for a new one: that in the earliest phase,
// of these the one that has been silent for longest.
func (l *ledger) leastUseful(now time.Duration) *entry {
	var found *entry
	for e := range l.entries {
		if e.phase == phaseServing || now-e.progressAt < minSilence {
			continue
		}
		if found == nil || e.phase < found.phase || e.phase == found.phase && e.quieterThan(found) {
			found = e
		}
	}
	if found == nil {
		return l.oldest(now, 0)
	}
	return found
}

// oldest returns the request that has been read for longest, at least as long as a silent
// one must be silent, of those that hold so many bytes. Ordinary requests are read in a
// few milliseconds; so they get in although all places are taken by requests that
// progress.
func (l *ledger) oldest(now time.Duration, held int64) *entry {
	var found *entry
	for e := range l.entries {
		if e.phase != phaseHeader && e.phase != phaseBody || e.held < held || now-e.beganAt < minSilence {
			continue
		}
		if found == nil || e.beganAt < found.beganAt || e.beganAt == found.beganAt && e.id < found.id {
			found = e
		}
	}
	return found
}

// quieterThan orders connections by how long they have made no progress.
func (e *entry) quieterThan(o *entry) bool {
	return e.progressAt < o.progressAt || e.progressAt == o.progressAt && e.id < o.id
}

// reserve reserves n bytes for a connection. The requests of the victims must be refused
// for that; not ok means that the connection's own must be.
func (l *ledger) reserve(e *entry, n int64, now time.Duration) (victims []*entry, ok bool) {
	budget := l.limits.Memory
	small := e.held+n <= smallRequest
	if !small {
		budget -= budget / ordinaryShare
	}
	for l.used+n > budget {
		v := l.quietest(e, now)
		if v == nil && small {
			v = l.oldest(now, 1)
		}
		if v == nil || v == e {
			return victims, false
		}
		l.hold(v, 0)
		v.phase = phaseRefused
		victims = append(victims, v)
	}
	l.hold(e, e.held+n)
	return victims, true
}

// ordinaryShare is the part of the budget that only small requests may use.
const ordinaryShare = 4

// quietest returns the request, other than that of e, that has made no progress for
// longest and holds memory.
func (l *ledger) quietest(e *entry, now time.Duration) *entry {
	var found *entry
	for o := range l.entries {
		if o == e || o.held == 0 || o.phase == phaseServing || now-o.progressAt < minSilence {
			continue
		}
		if found == nil || o.quieterThan(found) {
			found = o
		}
	}
	return found
}

// hold sets what a connection holds.
func (l *ledger) hold(e *entry, n int64) {
	l.used += n - e.held
	e.held = n
}

// enter begins a phase.
func (e *entry) enter(p phase, now time.Duration) {
	e.phase, e.beganAt, e.progressAt, e.progress = p, now, now, 0
}

// received notes bytes of a request.
func (e *entry) received(n int, now time.Duration) {
	if e.progress += n; e.progress >= progressBytes {
		e.progressAt, e.progress = now, 0
	}
}

func (l *ledger) remove(e *entry) {
	l.hold(e, 0)
	delete(l.entries, e)
}

// headerCost returns what a header takes beyond that of an ordinary one.
func headerCost(lines, bytes int) int64 {
	return max(int64(lines)*lineCost+int64(bytes)*byteCost-ordinaryHeader, 0)
}
