// Package acceptor accepts connections and goes on after errors that pass, such as running
// out of file descriptors.
package acceptor

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/wait"
)

const (
	retryMin = 5 * time.Millisecond
	// retryMax is well below the time after which a peer that waits in the backlog gives
	// up, 500 ms.
	retryMax       = 100 * time.Millisecond
	reportInterval = time.Second
)

// Each passes every connection of a listener to handle until the listener is closed or ctx
// is done. It returns the error of a closed listener unless ctx is done. Other errors are
// passed to report, once a second at most.
func Each(ctx context.Context, l net.Listener, report func(error), handle func(net.Conn)) error {
	backoff := wait.Backoff{Min: retryMin, Max: retryMax}
	var reportedAt time.Time
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			backoff.Reset()
			handle(conn)
			continue
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		}
		if time.Since(reportedAt) >= reportInterval {
			reportedAt = time.Now()
			report(err)
		}
		backoff.Sleep(ctx)
	}
}
