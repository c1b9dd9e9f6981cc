package fleetsim

import (
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// openOffers follows which owner has the last offer of each call of an instance.
type openOffers map[fleet.CallID]openOffer

// openOffer is an offer that its owner has not declined and need not drop.
type openOffer struct {
	id    fleet.CallID
	owner model.Instance
}

// observe follows one step of an instance, and calls report for each call that is offered
// to an owner while another one has it.
func (o openOffers) observe(self model.Instance, e fleet.Event, effects []fleet.Effect, report func(call fleet.CallID, has, gets model.Instance)) {
	if m, ok := e.(fleet.PeerMessage); ok {
		if x, ok := m.Message.(fleet.Outcome); ok {
			o.close(x.Call, m.From.Instance)
		}
	}
	for _, x := range effects { // an offer withdrawn in a step is never opened in it
		if x, ok := x.(fleet.SendPeer); ok {
			if m, ok := x.Message.(fleet.Withdraw); ok {
				o.close(m.Call, x.To.Instance)
			}
		}
	}
	triedHere := map[fleet.CallID]bool{}
	for _, x := range effects {
		switch x := x.(type) {
		case fleet.Answer:
			delete(o, x.Call)
		case fleet.LogEntry:
			if x.Kind != fleet.LogJobRouted {
				continue
			}
			if has, open := o[x.Call]; open && !triedHere[x.Call] {
				report(x.Call, has.owner, x.Peer)
			}
			o[x.Call] = openOffer{x.Offer, x.Peer}
			triedHere[x.Call] = x.Peer == self // the instance itself declines at once
		}
	}
}

// close removes an offer to an owner.
func (o openOffers) close(id fleet.CallID, owner model.Instance) {
	for call, x := range o {
		if x.id == id && x.owner == owner {
			delete(o, call)
		}
	}
}
