package fleetpb

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// FromJob encodes a job.
func FromJob(j *fleet.JobSpec) *Job {
	out := &Job{
		Id: j.ID, Route: j.Route, Service: j.Service, Spec: j.Spec, Priority: int32(j.Priority),
		Attempts: int32(j.MaxAttempts), AllowanceNs: int64(j.Objective.Allowance), Stretch: j.Objective.Stretch,
		TimeoutNs: int64(j.Timeout), Keep: j.Durable,
	}
	if p := j.Offloaded; p != nil {
		out.Part = &Part{
			Step: int32(p.Step), Index: int32(p.Index), Attempt: p.Attempt,
			HomeInstance: string(p.Home.Instance), HomeIncarnation: string(p.Home.Incarnation), Near: p.Near,
		}
	}
	for _, s := range j.Steps {
		step := &Step{
			Count: int32(s.Count), CpuMillicores: s.Need.CPUMilli, MemoryMb: s.Need.MemoryMB,
			Accelerators: s.Need.Accelerators, EstimateNs: int64(s.Estimate), Label: s.Label, Rack: s.Rack,
			MaxPerServer: int32(s.MaxPerServer), SameRack: s.SameRack,
		}
		for _, dep := range s.DependsOn {
			step.After = append(step.After, int32(dep))
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

// Decode returns the decoded job.
func (b *Job) Decode() fleet.JobSpec {
	j := fleet.JobSpec{
		ID: b.GetId(), Route: b.GetRoute(), Service: b.GetService(), Spec: b.GetSpec(),
		Priority: int(b.GetPriority()), MaxAttempts: int(b.GetAttempts()),
		Objective: fleet.Objective{Allowance: time.Duration(b.GetAllowanceNs()), Stretch: b.GetStretch()},
		Timeout:   time.Duration(b.GetTimeoutNs()), Durable: b.GetKeep(),
	}
	if p := b.GetPart(); p != nil {
		j.Offloaded = &fleet.OffloadedTask{
			Step: int(p.GetStep()), Index: int(p.GetIndex()), Attempt: p.GetAttempt(),
			Home: fleet.Member{Instance: model.Instance(p.GetHomeInstance()), Incarnation: model.Incarnation(p.GetHomeIncarnation())},
			Near: p.GetNear(),
		}
	}
	for _, s := range b.GetSteps() {
		step := fleet.StepSpec{
			Count:    int(s.GetCount()),
			Need:     model.Resources{CPUMilli: s.GetCpuMillicores(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()},
			Estimate: time.Duration(s.GetEstimateNs()), Label: s.GetLabel(), Rack: s.GetRack(),
			MaxPerServer: int(s.GetMaxPerServer()), SameRack: s.GetSameRack(),
		}
		for _, dep := range s.GetAfter() {
			step.DependsOn = append(step.DependsOn, int(dep))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}
