package fleetpb

import (
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// FromServerChanges encodes changes of the list of servers.
func FromServerChanges(c fleet.ServerChanges) *ServerChanges {
	out := &ServerChanges{From: c.FromRevision, At: c.ToRevision, Compared: c.FromDiff}
	for _, e := range c.Servers {
		out.Servers = append(out.Servers, &Server{
			Id: string(e.ID), Service: e.Service, Addr: e.Addr, Domain: string(e.Domain), State: int32(e.State),
			CpuMillicores: e.Capacity.CPUMilli, MemoryMb: e.Capacity.MemoryMB, Accelerators: e.Capacity.Accelerators,
			Labels: e.Labels, Kind: e.Kind, Slots: int32(e.Slots), BornMs: e.BootMs, ReportedAtMs: e.ReportedAtMs, ColdLeftMs: e.ColdLeftMs,
		})
	}
	for _, id := range c.Removed {
		out.Gone = append(out.Gone, string(id))
	}
	return out
}

// Decode returns the decoded changes.
func (b *ServerChanges) Decode() fleet.ServerChanges {
	c := fleet.ServerChanges{FromRevision: b.GetFrom(), ToRevision: b.GetAt(), FromDiff: b.GetCompared()}
	for _, e := range b.GetServers() {
		c.Servers = append(c.Servers, fleet.ServerEntry{
			ID: model.ServerID(e.GetId()), Service: e.GetService(), Addr: e.GetAddr(), Domain: model.Domain(e.GetDomain()),
			State: fleet.ServerState(e.GetState()), Labels: e.GetLabels(), Kind: e.GetKind(), Slots: int(e.GetSlots()), BootMs: e.GetBornMs(), ReportedAtMs: e.GetReportedAtMs(), ColdLeftMs: e.GetColdLeftMs(),
			Capacity: model.Resources{CPUMilli: e.GetCpuMillicores(), MemoryMB: e.GetMemoryMb(), Accelerators: e.GetAccelerators()},
		})
	}
	for _, id := range b.GetGone() {
		c.Removed = append(c.Removed, model.ServerID(id))
	}
	return c
}
