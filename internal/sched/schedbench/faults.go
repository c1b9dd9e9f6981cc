package schedbench

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

// updateServerLists passes the current server list to all live instances.
func (m *Sim) updateServerLists() {
	for _, in := range m.instances {
		if !in.dead {
			in.s.SetServers(m.Now, m.serverList())
			m.handleOutput(in)
		}
	}
}

func (m *Sim) updatePeerLists() {
	for _, in := range m.instances {
		if !in.dead {
			in.s.SetPeers(m.Now, m.peersOf(in))
			m.handleOutput(in)
		}
	}
}

// MarkLeaving marks a server as leaving; instances see it after serverListLag.
func (m *Sim) MarkLeaving(v *fakeServer) {
	v.State = sched.ServerLeaving
	m.after(serverListLag, m.updateServerLists)
}

// Kill stops an instance; its jobs are lost.
func (m *Sim) Kill(in *instance) {
	in.dead = true
	m.after(peerListLag, m.updatePeerLists)
}

// Restart starts a new process of the same instance.
func (m *Sim) Restart(in *instance) {
	for h, j := range m.jobs {
		if j.inst == in {
			delete(m.jobs, h)
		}
	}
	m.boot(in, 50)
	m.after(peerListLag, m.updatePeerLists)
}

// IsolateDomain cuts a domain off from the others.
func (m *Sim) IsolateDomain(d model.Domain) {
	m.isolated[d] = true
	m.after(peerListLag, m.updatePeerLists)
}

// RejoinDomain reconnects an isolated domain.
func (m *Sim) RejoinDomain(d model.Domain) {
	delete(m.isolated, d)
	m.after(peerListLag, m.updatePeerLists)
}

// Cancel cancels a job at its instance.
func (m *Sim) Cancel(j *job) {
	if m.jobs[j.Handle] != j || j.inst.dead {
		return
	}
	j.cancelled = true
	j.inst.s.Cancel(m.Now, j.Handle)
	m.handleOutput(j.inst)
}
