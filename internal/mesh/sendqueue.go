package mesh

import "sync"

// sendQueue holds the messages for one connection, in order. Once a message was dropped,
// later ones are dropped too until the next connection: the peers resync then, and until
// then a later message must not tell the peer that it has received the earlier ones.
type sendQueue struct {
	messages chan any

	mu      sync.Mutex // held while adding
	dropped bool
}

func newSendQueue() *sendQueue { return &sendQueue{messages: make(chan any, queueLength)} }

// add queues a message without blocking. overflow reports that it is the first one that
// was dropped.
func (q *sendQueue) add(message any) (overflow bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.dropped {
		return false
	}
	select {
	case q.messages <- message:
	default:
		q.dropped = true
	}
	return q.dropped
}

// reset drops the messages queued for an earlier connection.
func (q *sendQueue) reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped = false
	for {
		select {
		case <-q.messages:
		default:
			return
		}
	}
}
