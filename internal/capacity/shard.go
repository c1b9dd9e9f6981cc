package capacity

import (
	"encoding/binary"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// ShardLoad is the load of a shard measurement.
type ShardLoad struct {
	JobTasks     int `json:"job_tasks"`
	JobsPerRound int `json:"jobs_per_round"` // submissions between two flushes
	PayloadBytes int `json:"payload_bytes"`
	OutputBytes  int `json:"output_bytes"`
}

// ShardResult is the cost of jobs at their owner and its replica.
type ShardResult struct {
	ShardLoad
	Jobs             int     `json:"jobs"`
	OwnerNs          float64 `json:"owner_ns"`   // core time of the owner per task
	ReplicaNs        float64 `json:"replica_ns"` // core time of the replica per task
	EncodeNs         float64 `json:"encode_ns"`  // encoding of operations at the owner, per task
	DecodeNs         float64 `json:"decode_ns"`  // decoding at the replica, per task
	MessagesPerTask  float64 `json:"messages_per_task"`
	BytesPerTask     float64 `json:"bytes_per_task"` // owner to replica
	AckBytesPerTask  float64 `json:"ack_bytes_per_task"`
	OwnerJobBytes    float64 `json:"owner_job_bytes"` // memory of a completed job
	ReplicaJobBytes  float64 `json:"replica_job_bytes"`
	AnswerBytes      float64 `json:"answer_bytes"`     // part of it for the encoded answer
	OwnerBareBytes   float64 `json:"owner_bare_bytes"` // memory of a completed job without the answer
	ReplicaBareBytes float64 `json:"replica_bare_bytes"`
	SnapshotJobBytes float64 `json:"snapshot_job_bytes"` // sent to a learner per job
	SnapshotJobs     int     `json:"snapshot_jobs"`      // sent to a learner, all jobs if complete
}

// ShardLoads returns the loads to measure.
func ShardLoads() []ShardLoad {
	base := ShardLoad{JobTasks: 1, JobsPerRound: 4, PayloadBytes: 100, OutputBytes: 100}
	var list []ShardLoad
	for _, v := range []int{1, 10, 100, 630} {
		l := base
		l.JobTasks = v
		list = append(list, l)
	}
	for _, v := range []int{1, 16, 64} {
		l := base
		l.JobsPerRound = v
		list = append(list, l)
	}
	for _, v := range []int{0, 1000} {
		l := base
		l.PayloadBytes, l.OutputBytes = v, v
		list = append(list, l)
	}
	return list
}

// Fixed parameters of a shard measurement.
const (
	tasksPerMeasurement = 60_000 // with at least one job
	roundInterval       = time.Millisecond
	roundsPerTask       = 50 // rounds from the start of a task to its result
	shardName           = "d0"
	firstKeyTimeMs      = 1_700_000_000_000 // milliseconds since the Unix epoch
)

// MeasureShard runs jobs through an owner and its replica.
func MeasureShard(l ShardLoad) ShardResult {
	return medianRun(
		func() ShardResult { return measureShard(l) },
		func(f ShardResult) float64 { return f.OwnerNs },
	)
}

func measureShard(l ShardLoad) ShardResult {
	overhead := measureClockOverhead()
	b := newShardBench(l)
	jobs := max(1, tasksPerMeasurement/l.JobTasks)
	for b.jobs < jobs {
		b.round(min(l.JobsPerRound, jobs-b.jobs))
	}
	for range roundsPerTask + 50 {
		b.round(0)
	}
	tasks := float64(jobs * l.JobTasks)
	r := ShardResult{
		ShardLoad:       l,
		Jobs:            jobs,
		OwnerNs:         float64(b.ownerTime.netTime(overhead).Nanoseconds()) / tasks,
		ReplicaNs:       float64(b.replicaTime.netTime(overhead).Nanoseconds()) / tasks,
		EncodeNs:        float64(b.encodeTime.netTime(overhead).Nanoseconds()) / tasks,
		DecodeNs:        float64(b.decodeTime.netTime(overhead).Nanoseconds()) / tasks,
		MessagesPerTask: float64(b.messages) / tasks,
		BytesPerTask:    float64(b.bytes) / tasks,
		AckBytesPerTask: float64(b.ackBytes) / tasks,
	}
	snapshot, sent := b.snapshotBytes()
	r.SnapshotJobBytes = float64(snapshot) / float64(sent)
	r.SnapshotJobs = sent
	r.AnswerBytes = b.answerBytes()
	r.OwnerJobBytes, r.ReplicaJobBytes = b.heapPerJob()
	r.OwnerBareBytes = r.OwnerJobBytes - r.AnswerBytes
	r.ReplicaBareBytes = r.ReplicaJobBytes - r.AnswerBytes
	return r
}

// shardBench has an owner, its replica and a fake scheduler.
type shardBench struct {
	load                                           ShardLoad
	now                                            model.Time
	ownerEnv, replicaEnv                           *shard.Env
	owner, replica                                 *shard.Shard
	scheduler                                      *fakeScheduler
	endingByRound                                  [][]shard.StartTask // starts by the round in which their tasks end
	jobs                                           int
	answer                                         *peerpb.Answer // answer to the latest job
	messages, bytes, ackBytes                      int64
	ownerTime, replicaTime, encodeTime, decodeTime stopwatch
}

// fakeScheduler admits and records every job.
type fakeScheduler struct{ admitted []sched.Job }

func (q *fakeScheduler) Submit(_ model.Time, j sched.Job) sched.AdmissionResult {
	q.admitted = append(q.admitted, j)
	return sched.AdmissionResult{}
}
func (q *fakeScheduler) Cancel(model.Time, model.JobHandle)                         {}
func (q *fakeScheduler) Done(model.Time, sched.Start, sched.Outcome, time.Duration) {}

// allAlive is a fake of the links on which every member is alive.
type allAlive struct{}

func (allAlive) Liveness(shard.Member) shard.Liveness { return shard.Alive }

var (
	ownerMember   = shard.Member{Instance: "i00", Incarnation: "a"}
	replicaMember = shard.Member{Instance: "i01", Incarnation: "b"}
	learnerMember = shard.Member{Instance: "i02", Incarnation: "c"}
)

func newShardBench(l ShardLoad) *shardBench {
	b := &shardBench{load: l, scheduler: &fakeScheduler{}, now: model.Time(firstKeyTimeMs * int64(time.Millisecond))}
	opts := shard.DefaultOptions()
	opts.MaxAnswerBytes = 1 << 40 // no job record is evicted early
	view := shard.View{Epoch: 1, Members: []shard.Member{ownerMember, replicaMember}}
	id := shard.ID{Domain: shardName}
	b.ownerEnv, b.replicaEnv = shard.NewEnv(ownerMember, opts), shard.NewEnv(replicaMember, opts)
	for _, env := range []*shard.Env{b.ownerEnv, b.replicaEnv} {
		env.Scheduler, env.Peers = b.scheduler, allAlive{}
	}
	b.owner, b.replica = shard.New(b.ownerEnv, id), shard.New(b.replicaEnv, id)
	b.replica.InstallView(b.now, view)
	b.owner.InstallView(b.now, view)
	b.deliver(&b.ownerTime)
	return b
}

// round submits jobs, starts all their tasks and reports the due results.
func (b *shardBench) round(jobs int) {
	b.now = b.now.Add(roundInterval)
	b.ownerTime.measure(func() { b.owner.Tick(b.now) })
	b.scheduler.admitted = b.scheduler.admitted[:0]
	for range jobs {
		b.jobs++
		spec := b.newSpec()
		w := shard.Waiter{Instance: "i00", Request: uint64(b.jobs)}
		b.ownerTime.measure(func() { b.owner.Submit(b.now, spec, w, false) })
	}
	for _, j := range b.scheduler.admitted {
		for i := range j.Tasks {
			st := sched.Start{Job: j.Handle, Index: i, Server: "s"}
			b.ownerTime.measure(func() { b.ownerEnv.HandleBind(b.now, st) })
		}
	}
	b.reportResults()
	b.deliverAll()
}

func (b *shardBench) reportResults() {
	if len(b.endingByRound) < roundsPerTask {
		return
	}
	for _, st := range b.endingByRound[0] {
		done := shard.TaskDone{Start: st.Start, Outcome: sched.OutcomeOK, Ran: roundsPerTask * roundInterval, Output: make([]byte, b.load.OutputBytes)}
		b.ownerTime.measure(func() { b.ownerEnv.HandleTaskDone(b.now, done) })
	}
	b.endingByRound = b.endingByRound[1:]
}

// deliverAll delivers messages until none is left, and collects the starts.
func (b *shardBench) deliverAll() {
	var starts []shard.StartTask
	for {
		b.ownerTime.measure(func() { b.ownerEnv.Flush(b.now) })
		got, delivered := b.deliver(&b.ownerTime)
		starts = append(starts, got...)
		if !delivered {
			break
		}
	}
	b.endingByRound = append(b.endingByRound, starts)
}

// deliver delivers the owner's operations to the replica, encoded and decoded,
// and the acknowledgements to the owner.
func (b *shardBench) deliver(owner *stopwatch) ([]shard.StartTask, bool) {
	out := b.ownerEnv.TakeEffects()
	for _, r := range out.Replies {
		b.answer = r.Answer
	}
	for _, s := range out.Sends {
		a, ok := s.Message.Body.(*peerpb.Message_Append)
		if !ok {
			continue
		}
		decoded := b.transfer(a)
		b.replicaTime.measure(func() { b.replica.HandleAppend(b.now, ownerMember, decoded) })
	}
	for _, s := range b.replicaEnv.TakeEffects().Sends {
		ack := s.Message.GetAppendAck()
		if ack == nil {
			continue
		}
		b.messages++
		b.ackBytes += int64(proto.Size(s.Message))
		owner.measure(func() { b.owner.HandleAppendAck(b.now, replicaMember, ack) })
	}
	return out.Starts, len(out.Sends) > 0
}

func (b *shardBench) transfer(a *peerpb.Message_Append) *peerpb.Append {
	var data []byte
	b.encodeTime.measure(func() { data, _ = proto.Marshal(&peerpb.Message{Body: a}) })
	b.messages++
	b.bytes += int64(len(data))
	m := &peerpb.Message{}
	b.decodeTime.measure(func() {
		if err := proto.Unmarshal(data, m); err != nil {
			panic(err) // data is the output of Marshal above
		}
	})
	return m.GetAppend()
}

func (b *shardBench) newSpec() *peerpb.JobSpec {
	key := make([]byte, 16)
	binary.BigEndian.PutUint64(key, uint64(b.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(key[8:], uint64(b.jobs))
	s := &peerpb.JobSpec{
		Identity:  &peerpb.Identity{Customer: "customer-000", Home: shardName, Key: key},
		Kind:      "kind-0",
		Resources: &peerpb.Resources{CpuMilli: 1000, MemoryMb: 1000},
	}
	for range b.load.JobTasks {
		s.Payloads = append(s.Payloads, make([]byte, b.load.PayloadBytes))
	}
	return s
}

// snapshotBytes returns the size of the snapshot that the owner sends to a new
// learner, and its number of jobs.
func (b *shardBench) snapshotBytes() (sum int64, jobs int) {
	b.owner.AddLearner(b.now, learnerMember)
	for {
		c := snapshotOf(b.ownerEnv.TakeEffects())
		if c == nil {
			return sum, jobs
		}
		sum += int64(proto.Size(&peerpb.Message{Body: &peerpb.Message_Snapshot{Snapshot: c}}))
		jobs += len(c.Records)
		if c.Last {
			return sum, jobs
		}
		b.owner.HandleSnapshotAck(b.now, learnerMember, &peerpb.SnapshotAck{
			Domain:   shardName,
			Epoch:    1,
			Chunk:    c.Chunk,
			Learning: c.Learning,
		})
	}
}

// snapshotOf returns the snapshot chunk among the messages, or nil.
func snapshotOf(e shard.Effects) *peerpb.Snapshot {
	for _, s := range e.Sends {
		if c := s.Message.GetSnapshot(); c != nil {
			return c
		}
	}
	return nil
}

// answerBytes returns the heap bytes of one encoded answer.
func (b *shardBench) answerBytes() float64 {
	answers := make([][]byte, b.jobs)
	before := heapBytes()
	for i := range answers {
		answers[i], _ = proto.Marshal(b.answer)
	}
	after := heapBytes()
	runtime.KeepAlive(answers)
	return float64(after-before) / float64(len(answers))
}

// heapPerJob returns the heap bytes of a completed job at owner and replica.
func (b *shardBench) heapPerJob() (owner, replica float64) {
	jobs := float64(b.jobs)
	b.endingByRound, b.scheduler.admitted = nil, nil
	both := heapBytes()
	b.owner, b.ownerEnv = nil, nil
	one := heapBytes()
	b.replica, b.replicaEnv = nil, nil
	none := heapBytes()
	return float64(both-one) / jobs, float64(one-none) / jobs
}
