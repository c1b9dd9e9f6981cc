package fleet

// The memory of the jobs at an owner is bounded: callers may submit jobs of few bytes with
// thousands of tasks, and stored ones are kept after their callers have been answered. Stored
// jobs and others each have a bound of their own, so that neither keeps the other out.

// Estimated memory of a job, in bytes.
const (
	jobBytes      = 2 << 10 // with its record in the store as it is being written
	stepSpecBytes = 128
	stepBytes     = 384 // besides, at the owner
	taskBytes     = 256 // with the record of its end
	wordBytes     = 8   // an entry of a list
)

// Size estimates the memory of the specification itself, in bytes.
func (j *JobSpec) Size() int64 {
	n := len(j.Spec)
	for _, s := range j.Steps {
		n += stepSpecBytes + len(s.DependsOn)*wordBytes + len(s.Label) + len(s.Rack)
	}
	return int64(n)
}

// memory estimates the memory of a job at its owner, in bytes.
func (j *JobSpec) memory() int64 {
	return j.Size() + jobBytes + int64(len(j.Steps)*stepBytes+j.TaskCount()*taskBytes)
}

// hasMemoryFor reports whether another job may be taken.
func (p *pool) hasMemoryFor(spec *JobSpec) bool {
	if p.maxJobMemory == 0 {
		return true
	}
	n := spec.memory()
	for _, j := range p.jobs {
		if j.spec.Durable == spec.Durable {
			n += j.memory
		}
	}
	if spec.Durable {
		for _, x := range p.holder.jobs {
			if x.job == nil { // being stored
				n += x.record.Job.memory()
			}
		}
	}
	return n <= p.maxJobMemory
}
