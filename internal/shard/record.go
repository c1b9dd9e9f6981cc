package shard

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// digestSize is the length of a content digest in bytes.
const digestSize = 16

type digest [digestSize]byte

// key identifies a record within its shard.
type key struct {
	customer string
	key      model.Key
}

// record is the deduplication record of one job.
type record struct {
	key      key
	digest   digest
	number   uint64 // sequence number of the claim
	job      *job   // nil once the answer is final
	final    []byte // encoded final answer, nil while the job is open
	finalSeq uint64 // operation that made the answer final
}

// answer decodes the final answer.
func (r *record) answer() *peerpb.Answer {
	a := &peerpb.Answer{}
	if err := proto.Unmarshal(r.final, a); err != nil {
		// Unreachable: encodeAnswer encoded it, here or at the owner.
		return &peerpb.Answer{
			Status:  peerpb.Status_STATUS_FAILED,
			Ran:     peerpb.Ran_RAN_UNKNOWN,
			Problem: ProblemInternal,
		}
	}
	return a
}

// encodeAnswer returns the encoded form in which final answers are retained,
// which takes a fraction of the memory of the message.
func encodeAnswer(a *peerpb.Answer) []byte {
	encoded, err := proto.Marshal(a)
	if err != nil {
		// Not expected, as the ports reject strings that are not UTF-8.
		encoded, _ = proto.Marshal(&peerpb.Answer{
			Status:  a.Status,
			Ran:     a.Ran,
			Problem: ProblemInternal,
		})
	}
	return encoded
}

func (r *record) submitted() model.Time { return r.key.key.Submitted() }

// taskState is the state of a task at the owner.
type taskState uint8

const (
	taskQueued  taskState = iota
	taskBound             // bound to a slot, waiting for its intent to commit
	taskStarted           // sent to its server
	taskRemote            // started by an earlier owner, whose instance reports the result
	taskClosed            // its result is recorded
)

// job is the part of a record that is dropped once the answer is final.
type job struct {
	spec            *peerpb.JobSpec
	results         []*peerpb.TaskResult // by index, nil while open
	closedTasks     int                  // number of recorded results
	failed          bool                 // at least one result is a failure
	intentUpto      uint32               // tasks with a lower index may be started
	intentSeq       uint64               // operation of the latest intent
	handles         []model.JobHandle    // owner: the job and its retries in the scheduler
	states          []taskState          // owner
	attempts        []uint8              // owner
	inFlightCount   int                  // owner: tasks in flight here
	waiters         []Waiter             // owner
	runners         map[uint32]Member    // owner: instances that report the tasks in state taskRemote
	earlierInFlight map[uint32]bool      // in flight here since before another instance owned the job
	ranBefore       map[int]bool         // owner: requeued after a start that may have run
}

func newJob(spec *peerpb.JobSpec) *job {
	return &job{
		spec:    spec,
		results: make([]*peerpb.TaskResult, len(spec.Payloads)),
	}
}

// initOwner initializes the owner's state.
func (j *job) initOwner() {
	n := len(j.results)
	j.keepInFlight()
	j.states = make([]taskState, n)
	j.attempts = make([]uint8, n)
	for i, r := range j.results {
		if r != nil {
			j.states[i] = taskClosed
		}
	}
}

// recordResult records the first result of a task and reports whether there was
// none before.
func (j *job) recordResult(res *peerpb.TaskResult) bool {
	i := int(res.Index)
	if i >= len(j.results) || j.results[i] != nil {
		return false
	}
	j.results[i] = res
	j.closedTasks++
	if !res.Ok {
		j.failed = true
	}
	return true
}

// retryable reports whether a task may be started again after a failure. Only a
// single request that its caller marked as repeatable may; tasks of jobs start
// at most once.
func (j *job) retryable() bool {
	return j.spec.Repeatable && j.spec.Request && len(j.spec.Payloads) == 1
}

// completeAnswer returns the complete answer, or nil if a task is open or
// failed.
func (j *job) completeAnswer() *peerpb.Answer {
	if j.closedTasks < len(j.results) || j.failed {
		return nil
	}
	return &peerpb.Answer{
		Status:  peerpb.Status_STATUS_COMPLETE,
		Ran:     peerpb.Ran_RAN_YES,
		Results: j.results,
	}
}

// failedAnswer returns the failed answer. A task without a result that an
// intent covers may have run unless the owner knows that it was never sent.
func (j *job) failedAnswer(problem string) *peerpb.Answer {
	a := &peerpb.Answer{Status: peerpb.Status_STATUS_FAILED, Problem: problem}
	for i := range j.results {
		a.Results = append(a.Results, j.taskOutcome(i))
	}
	a.Ran = ranOf(a.Results)
	return a
}

func (j *job) taskOutcome(i int) *peerpb.TaskResult {
	t := &peerpb.TaskResult{Index: uint32(i), Ran: peerpb.Ran_RAN_NO}
	if r := j.results[i]; r != nil {
		t.Ran, t.Ok, t.Error = r.Ran, r.Ok, r.Error
		return t
	}
	if uint32(i) < j.intentUpto && (j.states == nil || j.mayHaveRun(i)) {
		t.Ran = peerpb.Ran_RAN_UNKNOWN
	}
	return t
}

func (j *job) mayHaveRun(i int) bool {
	return j.states[i] == taskStarted || j.states[i] == taskRemote || j.ranBefore[i]
}

// unstarted reports whether the task certainly never ran.
func (j *job) unstarted(i int) bool {
	return (j.states[i] == taskQueued || j.states[i] == taskBound) && !j.ranBefore[i]
}

// markRanBefore records that an attempt of the task may have run.
func (j *job) markRanBefore(i int) {
	if j.ranBefore == nil {
		j.ranBefore = make(map[int]bool)
	}
	j.ranBefore[i] = true
}

// keepInFlight carries the tasks in flight over to the next ownership.
func (j *job) keepInFlight() {
	for i, st := range j.states {
		if st != taskStarted {
			continue
		}
		if j.earlierInFlight == nil {
			j.earlierInFlight = make(map[uint32]bool)
		}
		j.earlierInFlight[uint32(i)] = true
	}
}

// inFlight reports whether the task is in flight at this instance.
func (j *job) inFlight(i int) bool {
	return j.states[i] == taskStarted || j.earlierInFlight[uint32(i)]
}

// clearInFlight records that a task which this instance ran for another owner
// has ended.
func (j *job) clearInFlight(i uint32) {
	delete(j.earlierInFlight, i)
	if j.states[i] == taskStarted {
		j.states[i] = taskClosed
	}
}

// runnerOf returns the instance that reports the result of a task in flight: the
// runner of a remote task, otherwise self.
func (j *job) runnerOf(i uint32, self Member) Member {
	if j.states[i] == taskRemote {
		return j.runners[i]
	}
	return self
}

// awaitsTask reports whether m has yet to report the result of a task.
func (j *job) awaitsTask(i uint32, m Member) bool {
	return int(i) < len(j.states) && j.states[i] == taskRemote && j.runners[i] == m
}

// awaitsAnyTask reports whether m has yet to report any result.
func (j *job) awaitsAnyTask(m Member) bool {
	for i := range j.runners {
		if j.awaitsTask(i, m) {
			return true
		}
	}
	return false
}

// awaitedFrom lists the tasks whose results m has yet to report.
func (j *job) awaitedFrom(m Member) []uint32 {
	if len(j.runners) == 0 {
		return nil
	}
	var list []uint32
	for i := range uint32(len(j.states)) {
		if j.awaitsTask(i, m) {
			list = append(list, i)
		}
	}
	return list
}

// unresolvedIntents counts tasks that an intent covers and that have no result,
// except those that an earlier owner's instance will report.
func (j *job) unresolvedIntents() int {
	n := 0
	for i := uint32(0); i < j.intentUpto; i++ {
		if j.results[i] != nil {
			continue
		}
		if j.states != nil && j.states[i] == taskRemote {
			continue
		}
		n++
	}
	return n
}

func ranOf(results []*peerpb.TaskResult) peerpb.Ran {
	var no, yes int
	for _, r := range results {
		switch r.Ran {
		case peerpb.Ran_RAN_NO:
			no++
		case peerpb.Ran_RAN_YES:
			yes++
		}
	}
	switch len(results) {
	case no:
		return peerpb.Ran_RAN_NO
	case yes:
		return peerpb.Ran_RAN_YES
	}
	return peerpb.Ran_RAN_UNKNOWN
}

// digestOf hashes the content of a submission, without its identity.
func digestOf(s *peerpb.JobSpec) digest {
	h := sha256.New()
	var n [8]byte
	put := func(v uint64) {
		binary.BigEndian.PutUint64(n[:], v)
		h.Write(n[:])
	}
	putBytes := func(b []byte) {
		put(uint64(len(b)))
		h.Write(b)
	}
	putBytes([]byte(s.Kind))
	put(uint64(s.DeadlineUnixMs))
	put(uint64(s.DeclaredRunMs))
	if s.Repeatable {
		put(1)
	} else {
		put(0)
	}
	put(uint64(s.GetResources().GetCpuMilli()))
	put(uint64(s.GetResources().GetMemoryMb()))
	put(uint64(s.GetResources().GetAccelerators()))
	put(uint64(len(s.Payloads)))
	for _, p := range s.Payloads {
		putBytes(p)
	}
	var d digest
	copy(d[:], h.Sum(nil))
	return d
}

func keyOf(id *peerpb.Identity) key {
	k := key{customer: id.GetCustomer()}
	copy(k.key[:], id.GetKey())
	return k
}

func (k key) identity(home model.Domain) *peerpb.Identity {
	return &peerpb.Identity{
		Customer: k.customer,
		Home:     string(home),
		Key:      append([]byte(nil), k.key[:]...),
	}
}

// IdentityHash hashes the customer and the random half of the key. A caller
// that returns after a rejection keeps that half and takes a new timestamp, so
// that its new key maps to the same shard and the scheduler recognizes it.
func IdentityHash(id *peerpb.Identity) uint64 {
	const randomHalf = 8
	h := xxhash.New()
	_, _ = h.WriteString(id.GetCustomer())
	if k := id.GetKey(); len(k) > randomHalf {
		_, _ = h.Write(k[randomHalf:])
	}
	return h.Sum64()
}

// recordBytes estimates the memory of a final record.
func recordBytes(r *record) int64 {
	const perRecord = 300 // the record and its entries in map, order and expiry heap
	return perRecord + int64(len(r.final)+len(r.key.customer))
}
