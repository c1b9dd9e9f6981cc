package core

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// link is the state of the connection to a peer address.
type link struct {
	info      InstanceInfo
	up        bool
	member    shard.Member // latest process that answered
	downSince model.Time   // 0 if the link is up or was never tried
	// timedOutDial is the start of the latest connection attempt that timed
	// out, 0 if one has been answered or refused since.
	timedOutDial model.Time
}

// markDown marks the link as down.
func (l *link) markDown(now model.Time) {
	l.up = false
	if l.downSince == 0 {
		l.downSince = now
	}
}

// process is the state of one incarnation of a peer.
type process struct {
	addr         string
	learnedAt    model.Time // when the address was learned
	confirmSeq   uint64     // latest known InstanceInfo.ConfirmSeq
	currentSince model.Time // when confirmSeq was learned or a new view named the process
}

// peers tracks the liveness of processes by the outcomes of new connections.
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
// connection attempt that started after its current confirmation number was
// known here: one that was unresponsive before may have been paused and may
// have confirmed its views since (spec/replication.pml, W_SILENCE_FIRST).
func (p *peers) Liveness(m shard.Member) shard.Liveness {
	if m == p.self {
		return shard.Alive
	}
	if p.dead[m] {
		return shard.Dead
	}
	proc := p.members[m]
	if proc == nil {
		return shard.Alive
	}
	l := p.links[proc.addr]
	if l == nil || l.timedOutDial == 0 || l.timedOutDial < proc.currentSince {
		return shard.Alive
	}
	return shard.Silent
}

// connected reports whether messages can be sent to m now.
func (p *peers) connected(m shard.Member) bool {
	proc := p.members[m]
	if proc == nil {
		return false
	}
	l := p.links[proc.addr]
	return l != nil && l.up && l.member == m
}

// addrOf returns the address of a process, or "" if unknown.
func (p *peers) addrOf(m shard.Member) string {
	if proc := p.members[m]; proc != nil {
		return proc.addr
	}
	return ""
}

// downSince returns since when m is unreachable, 0 if unknown.
func (p *peers) downSince(m shard.Member) model.Time {
	proc := p.members[m]
	if proc == nil {
		return 0
	}
	if l := p.links[proc.addr]; l != nil {
		return l.downSince
	}
	return 0
}

// learn records the address of an instance.
func (p *peers) learn(i InstanceInfo) {
	if i.Member == p.self || i.Addr == "" || p.dead[i.Member] {
		return
	}
	if i.Addr == p.addr {
		// This process listens at that address, so its earlier holder is gone.
		p.dead[i.Member] = true
		return
	}
	p.learnProcess(i.Member, i.Addr, i.ConfirmSeq)
	l := p.ensureLink(i)
	if l.up && l.member != i.Member {
		return
	}
	l.info = i
}

// ensureLink returns the link to an address and adds it if there is none.
func (p *peers) ensureLink(i InstanceInfo) *link {
	l := p.links[i.Addr]
	if l == nil {
		l = &link{info: i}
		p.links[i.Addr] = l
		p.order = append(p.order, i.Addr)
		p.dialChanged = true
	}
	return l
}

func (p *peers) learnProcess(m shard.Member, addr string, confirmSeq uint64) {
	proc := p.members[m]
	if proc == nil {
		p.members[m] = &process{addr: addr, learnedAt: p.now, confirmSeq: confirmSeq, currentSince: p.now}
		return
	}
	if confirmSeq > proc.confirmSeq {
		proc.confirmSeq = confirmSeq
		proc.currentSince = p.now
	}
}

// resetSilence invalidates earlier evidence that a process is silent.
func (p *peers) resetSilence(m shard.Member) {
	if proc := p.members[m]; proc != nil {
		proc.currentSince = p.now
	}
}

// prune drops addresses whose link is down and that keep doesn't list.
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

// markDeadAt marks the processes at an address as dead, except the one that
// answers there. A process learned of after the connection attempt started may
// have been started after the attempt was answered.
func (p *peers) markDeadAt(addr string, except shard.Member, dialedAt model.Time) {
	for m, proc := range p.members {
		if proc.addr == addr && m != except && proc.learnedAt < dialedAt {
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

// handleTimeout handles an unanswered connection. It returns the member at the
// address if that member turned silent.
func (p *peers) handleTimeout(e PeerTimeout, suspendedAt model.Time) (shard.Member, bool) {
	l := p.links[e.Addr]
	if l == nil {
		return shard.Member{}, false
	}
	l.markDown(p.now)
	// An attempt that spans a pause of this instance proves nothing.
	if e.DialedAt <= suspendedAt {
		return shard.Member{}, false
	}
	first := l.timedOutDial == 0
	l.timedOutDial = e.DialedAt
	return l.info.Member, first
}

// resetAllSilence discards which peers were silent and how long links were
// down, as this instance was not observing them.
func (p *peers) resetAllSilence(now model.Time) {
	for _, l := range p.links {
		l.timedOutDial = 0
		if l.downSince != 0 {
			l.downSince = now
		}
	}
}

// dialList returns the peers to keep links to, in a stable order.
func (p *peers) dialList() []InstanceInfo {
	list := make([]InstanceInfo, 0, len(p.order))
	for _, a := range p.order {
		list = append(list, p.links[a].info)
	}
	return list
}
