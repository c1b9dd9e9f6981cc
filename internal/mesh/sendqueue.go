package mesh

import (
	"sync"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// sendQueue holds the messages for one connection, in order. Once a message was dropped,
// later ones are dropped too until the next connection: the peers resync then, and until
// then a later message must not tell the peer that it has received the earlier ones.
type sendQueue struct {
	messages chan any

	mu      sync.Mutex        // held while adding
	to      model.Incarnation // at the other end of the connection, empty before the first
	dropped bool
}

func newSendQueue() *sendQueue { return &sendQueue{messages: make(chan any, queueLength)} }

// add queues a message for an incarnation without blocking. overflow reports that it is the
// first one that was dropped for want of room. A message for another incarnation than that
// at the other end is dropped: its calls are numbered anew in each.
func (q *sendQueue) add(to model.Incarnation, message any) (overflow bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.dropped || to != q.to {
		return false
	}
	select {
	case q.messages <- message:
	default:
		q.dropped = true
	}
	return q.dropped
}

// reset drops the messages queued for an earlier connection; the next one leads to an
// incarnation.
func (q *sendQueue) reset(to model.Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.to, q.dropped = to, false
	for {
		select {
		case <-q.messages:
		default:
			return
		}
	}
}
