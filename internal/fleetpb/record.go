package fleetpb

import (
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// FromRecord encodes the record of a durable job, without its times.
func FromRecord(r *fleet.Record) *JobRecord {
	out := &JobRecord{
		State: int32(r.State), Holder: string(r.Holder), Incarnation: string(r.Incarnation), Version: r.Version, Term: r.Term,
		Started: r.Started,
	}
	if r.State == fleet.StateOpen {
		out.Job = FromJob(&r.Job)
	}
	for _, p := range r.Progress {
		progress := &TaskProgress{Step: int32(p.Step), Index: int32(p.Index), Done: p.Done, Failures: int32(p.Failures)}
		for _, l := range p.Losses {
			progress.Losses = append(progress.Losses, &ServerLoss{Server: string(l.Server), BornMs: l.BootMs, Alone: l.Alone, Crashed: l.Crashed})
		}
		out.Progress = append(out.Progress, progress)
	}
	return out
}

// Decode returns the decoded job record.
func (b *JobRecord) Decode() fleet.Record {
	r := fleet.Record{
		State: fleet.JobState(b.GetState()), Holder: model.Instance(b.GetHolder()), Incarnation: model.Incarnation(b.GetIncarnation()),
		Version: b.GetVersion(), Term: b.GetTerm(), Job: b.GetJob().Decode(),
		Started: b.GetStarted(),
	}
	for _, p := range b.GetProgress() {
		progress := fleet.TaskProgress{Step: int(p.GetStep()), Index: int(p.GetIndex()), Done: p.GetDone(), Failures: int(p.GetFailures())}
		for _, l := range p.GetLosses() {
			progress.Losses = append(progress.Losses, fleet.ServerLoss{
				Server: model.ServerID(l.GetServer()), BootMs: l.GetBornMs(), Alone: l.GetAlone(), Crashed: l.GetCrashed(),
			})
		}
		r.Progress = append(r.Progress, progress)
	}
	return r
}
