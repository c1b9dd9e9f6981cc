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
	unconfirmedTTL      = time.Minute
	maxUnconfirmedBytes = 8 << 20
)

// unconfirmedResult is a result that was sent to another owner.
type unconfirmedResult struct {
	shard     *Shard
	message   *peerpb.RemoteResult
	size      int
	expiresAt model.Time
}

func (u unconfirmedResult) id() taskID {
	return taskID{key: keyOf(u.message.Identity), index: u.message.Result.Index}
}

// unconfirmedResults are the results that this instance has sent to other owners
// and that these may not have received, the oldest first.
type unconfirmedResults struct {
	list  []unconfirmedResult
	bytes int
}

// add adds a result. One that says that the task has not started is kept as
// one that may have run: were it to arrive twice, the second could be taken
// for that of a later start.
func (u *unconfirmedResults) add(now model.Time, s *Shard, m *peerpb.RemoteResult) {
	if m.Result.Ran == peerpb.Ran_RAN_NO {
		m = s.remoteResult(keyOf(m.Identity), unknownResult(m.Result.Index))
	}
	r := unconfirmedResult{shard: s, message: m, size: proto.Size(m), expiresAt: now.Add(unconfirmedTTL)}
	u.list = append(u.list, r)
	u.bytes += r.size
	for u.bytes > maxUnconfirmedBytes {
		u.dropOldest()
	}
}

func (u *unconfirmedResults) dropOldest() {
	u.bytes -= u.list[0].size
	u.list = u.list[1:]
}

// expire drops the results that nobody has asked for in time.
func (u *unconfirmedResults) expire(now model.Time) {
	for len(u.list) > 0 && u.list[0].expiresAt <= now {
		u.dropOldest()
	}
}

// retainRequested drops the results of a shard that are not asked for, and returns the
// others.
func (u *unconfirmedResults) retainRequested(s *Shard, asked map[taskID]bool) map[taskID]*peerpb.RemoteResult {
	found := make(map[taskID]*peerpb.RemoteResult)
	var left []unconfirmedResult
	for _, r := range u.list {
		id := r.id()
		if r.shard == s && !asked[id] {
			u.bytes -= r.size
			continue
		}
		if r.shard == s {
			found[id] = r.message
		}
		left = append(left, r)
	}
	u.list = left
	return found
}
