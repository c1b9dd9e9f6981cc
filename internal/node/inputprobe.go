package node

import (
	"os"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// inputProbe measures how far the reducer lags behind the input of the process. A byte
// passes through a pipe the way the end of a caller's connection does: from the
// network poller to a goroutine, and through the event queue. A process that is short of
// CPU time or just resumed learns that its callers have left only after that lag.
type inputProbe struct {
	reader, writer *os.File
	post           func(fleet.Event)

	inFlight  atomic.Bool
	sentAt    fleet.Time // of the last byte; read only while it is in flight
	earlierAt fleet.Time // of the byte before, 0 if there was none
}

// newInputProbe opens the pipe. run must be called, and close at the end.
func newInputProbe(post func(fleet.Event)) (*inputProbe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, "open the input probe; raise the limit of file descriptors")
	}
	return &inputProbe{reader: r, writer: w, post: post}, nil
}

// send sends the next byte, unless one is in flight. The writer of a closed probe fails.
func (p *inputProbe) send(now fleet.Time) error {
	if p.inFlight.Load() {
		return nil
	}
	p.earlierAt, p.sentAt = p.sentAt, now
	p.inFlight.Store(true)
	if _, err := p.writer.Write([]byte{0}); err != nil {
		p.inFlight.Store(false)
		return errors.Wrap(err, "write to the input probe")
	}
	return nil
}

// run reports arrived bytes until the probe is closed. It reports the time of the byte
// before: other input needs a few steps more than a byte to the event queue, and has had
// a whole round for them.
func (p *inputProbe) run() {
	var b [1]byte
	for {
		if _, err := p.reader.Read(b[:]); err != nil {
			return // closed
		}
		at := p.earlierAt
		p.inFlight.Store(false)
		if at != 0 {
			p.post(fleet.InputProcessed{At: at})
		}
	}
}

func (p *inputProbe) close() {
	_ = p.writer.Close() // nothing is buffered
	_ = p.reader.Close()
}
