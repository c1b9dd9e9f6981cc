package core

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// link is what is known of the process at a peer address.
type link struct {
	info      InstanceInfo
	up        bool
	member    shard.Member // who answered last
	downSince model.Time   // since when it is not up, 0 if it is or was never tried
	// timedOutDial is when the latest connection began that stayed unanswered for
	// the whole silence bound, 0 if one was answered or refused since.
	timedOutDial model.Time
}

// markDown notes that the link is down.
func (l *link) markDown(now model.Time) {
	l.up = false
	if l.downSince == 0 {
		l.downSince = now
	}
}

// process is what is process of one process.
type process struct {
	addr         string
	learnedAt    model.Time // when the address was learned
	confirmSeq   uint64     // its latest confirm counter
	currentSince model.Time // when that counter was learned, or a view named the process anew
}

// peers tells who is alive, from the answers to fresh connections.
type peers struct {
	self        shard.Member
	addr        string // own address
	now         model.Time
	links       map[string]*link // by address
	order       []string         // addresses, in the order they were learned
	members     map[shard.Member]*process
	dead        map[shard.Member]bool
	dialChanged bool // the set of addresses has changed
}

func newPeers(self shard.Member, addr string) *peers {
	return &peers{
		self:    self,
		addr:    addr,
		links:   make(map[string]*link),
		members: make(map[shard.Member]*process),
		dead:    make(map[shard.Member]bool),
	}
}

// Liveness implements shard.Peers. A process counts as silent only by a
// connection that began after its present confirm counter was known here: one
// that was unanswered before may have been paused, and have confirmed its
// views since (spec/replication.pml, W_SILENCE_FIRST).
func (p *peers) Liveness(m shard.Member) shard.Liveness {
	if m == p.self {
		return shard.Alive
	}
	if p.dead[m] {
		return shard.Dead
	}
	k := p.members[m]
	if k == nil {
		return shard.Alive
	}
	l := p.links[k.addr]
	if l == nil || l.timedOutDial == 0 || l.timedOutDial < k.currentSince {
		return shard.Alive
	}
	return shard.Silent
}

// connected reports whether messages can be sent to m now.
func (p *peers) connected(m shard.Member) bool {
	k := p.members[m]
	if k == nil {
		return false
	}
	l := p.links[k.addr]
	return l != nil && l.up && l.member == m
}

// addrOf returns the address of a process, or "" if it is not known.
func (p *peers) addrOf(m shard.Member) string {
	if k := p.members[m]; k != nil {
		return k.addr
	}
	return ""
}

// downSince returns since when m can't be reached, 0 if that is not known.
func (p *peers) downSince(m shard.Member) model.Time {
	k := p.members[m]
	if k == nil {
		return 0
	}
	if l := p.links[k.addr]; l != nil {
		return l.downSince
	}
	return 0
}

// learn keeps the address of an instance.
func (p *peers) learn(i InstanceInfo) {
	if i.Member == p.self || i.Addr == "" || p.dead[i.Member] {
		return
	}
	if i.Addr == p.addr {
		// This process listens there, so the one that did before is gone.
		p.dead[i.Member] = true
		return
	}
	p.learnProcess(i.Member, i.Addr, i.ConfirmSeq)
	l := p.dialAddr(i)
	if l.up && l.member != i.Member {
		return
	}
	l.info = i
}

// dialAddr returns the link to an address, and makes it if there is none.
func (p *peers) dialAddr(i InstanceInfo) *link {
	l := p.links[i.Addr]
	if l == nil {
		l = &link{info: i}
		p.links[i.Addr] = l
		p.order = append(p.order, i.Addr)
		p.dialChanged = true
	}
	return l
}

func (p *peers) learnProcess(m shard.Member, addr string, confirm uint64) {
	k := p.members[m]
	if k == nil {
		p.members[m] = &process{addr: addr, learnedAt: p.now, confirmSeq: confirm, currentSince: p.now}
		return
	}
	if confirm > k.confirmSeq {
		k.confirmSeq = confirm
		k.currentSince = p.now
	}
}

// resetSilence lets silence from before now no longer count for a process.
func (p *peers) resetSilence(m shard.Member) {
	if k := p.members[m]; k != nil {
		k.currentSince = p.now
	}
}

// prune drops addresses whose process is dead and that keep does not name.
func (p *peers) prune(keep map[string]bool) {
	order := p.order[:0]
	for _, a := range p.order {
		l := p.links[a]
		if l.up || keep[a] {
			order = append(order, a)
			continue
		}
		delete(p.links, a)
		p.dialChanged = true
	}
	p.order = order
}

func (p *peers) handleUp(e PeerUp) *link {
	l := p.links[e.Addr]
	if l == nil || p.dead[e.Member] {
		return nil
	}
	p.markDeadAt(e.Addr, e.Member, e.DialedAt)
	p.learnProcess(e.Member, e.Addr, 0)
	l.up = true
	l.downSince = 0
	l.timedOutDial = 0
	l.member = e.Member
	l.info.Member = e.Member
	l.info.Domain = e.Domain
	return l
}

// markDeadAt notes that processes known at an address are gone, but the one that
// answers there. Processes that were learned after the connection began may
// have come after it was answered.
func (p *peers) markDeadAt(addr string, but shard.Member, began model.Time) {
	for m, k := range p.members {
		if k.addr == addr && m != but && k.learnedAt < began {
			p.dead[m] = true
			delete(p.members, m)
		}
	}
}

func (p *peers) handleRefused(e PeerRefused) {
	l := p.links[e.Addr]
	if l == nil {
		return
	}
	p.markDeadAt(e.Addr, shard.Member{}, e.DialedAt)
	l.markDown(p.now)
	l.timedOutDial = 0
}

// handleTimeout takes a connection that stayed handleTimeout, and returns the member
// at its address if it is silent from now on.
func (p *peers) handleTimeout(e PeerTimeout, suspendedAt model.Time) (shard.Member, bool) {
	l := p.links[e.Addr]
	if l == nil {
		return shard.Member{}, false
	}
	l.markDown(p.now)
	// A connection that spans a pause of this instance shows nothing.
	if e.DialedAt <= suspendedAt {
		return shard.Member{}, false
	}
	first := l.timedOutDial == 0
	l.timedOutDial = e.DialedAt
	return l.info.Member, first
}

// resetAllSilence forgets which peers were silent and for how long links were
// down, for this instance has not been watching.
func (p *peers) resetAllSilence(now model.Time) {
	for _, l := range p.links {
		l.timedOutDial = 0
		if l.downSince != 0 {
			l.downSince = now
		}
	}
}

// dialList returns the links to keep, in a stable order.
func (p *peers) dialList() []InstanceInfo {
	list := make([]InstanceInfo, 0, len(p.order))
	for _, a := range p.order {
		list = append(list, p.links[a].info)
	}
	return list
}
