package node

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// resumptionTime is how long after its start an instance reports its phases: all of them
// are over by then, also on a slow link.
const resumptionTime = 2 * time.Second

// resumption records when a starting instance reached each phase on the way to its first
// answer.
type resumption struct {
	startedAt fleet.Time
	phases    []phase // in the order in which they were reached
	owned     int     // servers
	lastOwned time.Duration
	logged    bool
}

// phase is a phase that has been reached a time after the start. Its name is the log field.
type phase struct {
	name  string
	after time.Duration
}

// reach records that a phase was reached, unless it was before.
func (r *resumption) reach(name string, now fleet.Time) {
	for _, p := range r.phases {
		if p.name == name {
			return
		}
	}
	r.phases = append(r.phases, phase{name, now.Sub(r.startedAt)})
}

// observe follows one step of the reducer.
func (r *resumption) observe(e fleet.Event, effects []fleet.Effect, now fleet.Time) {
	if r.logged {
		return
	}
	switch e := e.(type) {
	case fleet.ConfigApplied:
		r.reach("config_ms", now)
	case fleet.MembersListed:
		r.reach("members_ms", now)
	case fleet.LinkUp:
		r.reach("linked_ms", now)
	case fleet.ServersListed:
		r.reach("servers_ms", now)
	case fleet.PollReply:
		if e.Outcome == fleet.PollOK {
			r.reach("polled_ms", now)
		}
	case fleet.JobSubmitted:
		r.reach("submitted_ms", now)
	}
	for _, x := range effects {
		switch x := x.(type) {
		case fleet.SendPeer:
			if _, ok := x.Message.(fleet.Offer); ok {
				r.reach("offered_ms", now)
			}
		case fleet.StartRun:
			r.reach("started_ms", now)
		case fleet.Answer:
			if x.Result.Kind == fleet.Completed {
				r.reach("answered_ms", now)
			}
		case fleet.LogEntry:
			if x.Kind == fleet.LogServerOwned {
				r.reach("owned_ms", now)
				r.owned, r.lastOwned = r.owned+1, now.Sub(r.startedAt)
			}
		}
	}
}

// log writes the phases once, when they are over or the instance stops.
func (r *resumption) log(to *eventlog.Log, stopping bool, now fleet.Time) {
	if r.logged || !stopping && now.Sub(r.startedAt) < resumptionTime {
		return
	}
	r.logged = true
	line := to.Event(eventlog.ServiceResumed).Int("servers", r.owned).Dur("last_owned_ms", r.lastOwned)
	for _, p := range r.phases {
		line = line.Dur(p.name, p.after)
	}
	line.Send()
}
