package shard

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// Limits on the results retained for owners that may request them. The task of
// a dropped result counts as one that may have run.
const (
	unconfirmedTTL      = time.Minute
	maxUnconfirmedBytes = 8 << 20
)

// unconfirmedResult is a result sent to another owner.
type unconfirmedResult struct {
	shard     *Shard
	message   *peerpb.RemoteResult
	size      int
	expiresAt model.Time
}

func (u unconfirmedResult) id() taskID {
	return taskID{key: keyOf(u.message.Identity), index: u.message.Result.Index}
}

// unconfirmedResults are the results sent to other owners without confirmation
// of receipt, oldest first.
type unconfirmedResults struct {
	list  []unconfirmedResult
	bytes int
}

// add adds a result. A "not started" result is retained as "may have run": if
// it arrived twice, the second copy could be mistaken for the result of a later
// start.
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

// expire drops the results that weren't requested in time.
func (u *unconfirmedResults) expire(now model.Time) {
	for len(u.list) > 0 && u.list[0].expiresAt <= now {
		u.dropOldest()
	}
}

// retainRequested drops the results of a shard that aren't requested and
// returns the others.
func (u *unconfirmedResults) retainRequested(s *Shard, requested map[taskID]bool) map[taskID]*peerpb.RemoteResult {
	found := make(map[taskID]*peerpb.RemoteResult)
	var left []unconfirmedResult
	for _, r := range u.list {
		id := r.id()
		if r.shard == s && !requested[id] {
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
