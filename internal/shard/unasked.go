package shard

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// Bounds of the results kept for owners that may ask for them. The task of a
// result that was dropped counts as one that may have run.
const (
	unaskedTime  = time.Minute
	unaskedBytes = 8 << 20
)

// unaskedResult is a result that was sent to another owner.
type unaskedResult struct {
	shard *Shard
	sent  *peerpb.RemoteResult
	size  int
	until model.Time
}

func (u unaskedResult) id() taskID {
	return taskID{key: keyOf(u.sent.Identity), index: u.sent.Result.Index}
}

// unaskedResults are the results that this instance has sent to other owners
// and that these may not have received, the oldest first.
type unaskedResults struct {
	list  []unaskedResult
	bytes int
}

// keep adds a result. One that says that the task has not started is kept as
// one that may have run: were it to arrive twice, the second could be taken
// for that of a later start.
func (u *unaskedResults) keep(now model.Time, s *Shard, m *peerpb.RemoteResult) {
	if m.Result.Ran == peerpb.Ran_RAN_NO {
		m = s.remoteResult(keyOf(m.Identity), unknownResult(m.Result.Index))
	}
	r := unaskedResult{shard: s, sent: m, size: proto.Size(m), until: now.Add(unaskedTime)}
	u.list = append(u.list, r)
	u.bytes += r.size
	for u.bytes > unaskedBytes {
		u.dropOldest()
	}
}

func (u *unaskedResults) dropOldest() {
	u.bytes -= u.list[0].size
	u.list = u.list[1:]
}

// expire drops the results that nobody has asked for in time.
func (u *unaskedResults) expire(now model.Time) {
	for len(u.list) > 0 && u.list[0].until <= now {
		u.dropOldest()
	}
}

// only drops the results of a shard that are not asked for, and returns the
// others.
func (u *unaskedResults) only(s *Shard, asked map[taskID]bool) map[taskID]*peerpb.RemoteResult {
	found := make(map[taskID]*peerpb.RemoteResult)
	var left []unaskedResult
	for _, r := range u.list {
		id := r.id()
		if r.shard == s && !asked[id] {
			u.bytes -= r.size
			continue
		}
		if r.shard == s {
			found[id] = r.sent
		}
		left = append(left, r)
	}
	u.list = left
	return found
}
