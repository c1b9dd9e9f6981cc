package core

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// link is what is known of the process at a peer address.
type link struct {
	info   InstanceInfo
	up     bool
	member shard.Member // who answered last
	silent model.Time   // first unanswered connection in a row, 0 if none
}

// peers tells who is alive, from the answers to fresh connections.
type peers struct {
	self    shard.Member
	bound   time.Duration // silence bound
	now     model.Time
	links   map[string]*link // by address
	order   []string         // addresses, in the order they were learned
	addrs   map[shard.Member]string
	dead    map[shard.Member]bool
	byName  map[model.Instance]shard.Member // latest process that answered
	changed bool                            // the set of addresses has changed
}

func newPeers(self shard.Member, bound time.Duration) *peers {
	return &peers{
		self:   self,
		bound:  bound,
		links:  make(map[string]*link),
		addrs:  make(map[shard.Member]string),
		dead:   make(map[shard.Member]bool),
		byName: make(map[model.Instance]shard.Member),
	}
}

// Liveness implements shard.Peers.
func (p *peers) Liveness(m shard.Member) shard.Liveness {
	if m == p.self {
		return shard.Alive
	}
	if p.dead[m] {
		return shard.Dead
	}
	l := p.links[p.addrs[m]]
	if l == nil || l.silent == 0 {
		return shard.Alive
	}
	if p.now.Sub(l.silent) < p.bound {
		return shard.Alive
	}
	return shard.Silent
}

// connected reports whether messages can be sent to m now.
func (p *peers) connected(m shard.Member) bool {
	l := p.links[p.addrs[m]]
	return l != nil && l.up && l.member == m
}

// learn keeps the address of an instance.
func (p *peers) learn(i InstanceInfo) {
	if i.Member == p.self || i.Addr == "" || p.dead[i.Member] {
		return
	}
	p.addrs[i.Member] = i.Addr
	l := p.links[i.Addr]
	if l == nil {
		p.links[i.Addr] = &link{info: i}
		p.order = append(p.order, i.Addr)
		p.changed = true
		return
	}
	if l.up && l.member != i.Member {
		return
	}
	l.info = i
}

// forget drops addresses whose process is dead and that keep does not name.
func (p *peers) forget(keep map[string]bool) {
	order := p.order[:0]
	for _, a := range p.order {
		l := p.links[a]
		if l.up || keep[a] {
			order = append(order, a)
			continue
		}
		delete(p.links, a)
		p.changed = true
	}
	p.order = order
}

func (p *peers) answered(e PeerUp) *link {
	l := p.links[e.Addr]
	if l == nil {
		return nil
	}
	p.deadAt(e.Addr, e.Member)
	p.addrs[e.Member] = e.Addr
	p.byName[e.Member.Instance] = e.Member
	l.up = true
	l.silent = 0
	l.member = e.Member
	l.info.Member = e.Member
	l.info.Domain = e.Domain
	return l
}

// deadAt notes that every process known at an address is gone, but the one
// that answers there.
func (p *peers) deadAt(addr string, but shard.Member) {
	for m, a := range p.addrs {
		if a == addr && m != but {
			p.dead[m] = true
			delete(p.addrs, m)
		}
	}
}

func (p *peers) refused(addr string) {
	l := p.links[addr]
	if l == nil {
		return
	}
	p.deadAt(addr, shard.Member{})
	l.up = false
	l.silent = 0
}

func (p *peers) unanswered(addr string, now model.Time) {
	l := p.links[addr]
	if l == nil {
		return
	}
	l.up = false
	if l.silent == 0 {
		l.silent = now
	}
}

// restartSilence begins all waits for silent peers anew, for this instance
// has not been watching.
func (p *peers) restartSilence(now model.Time) {
	for _, l := range p.links {
		if l.silent != 0 {
			l.silent = now
		}
	}
}

// dial returns the links to keep, in a stable order.
func (p *peers) dial() []InstanceInfo {
	list := make([]InstanceInfo, 0, len(p.order))
	for _, a := range p.order {
		list = append(list, p.links[a].info)
	}
	return list
}
