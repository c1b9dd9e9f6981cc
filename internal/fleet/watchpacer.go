package fleet

import "time"

// Load pattern: the store changes faster than a watch with pauses reads, because many
// servers send heartbeats or because the watch was interrupted. A reply holds a limited
// number of changes, and the rest has to be read at once.

// Pauses between two watches.
const (
	// ServerWatchInterval is the pause of a watch of the list of servers that keeps up,
	// so that heartbeats arrive in batches.
	ServerWatchInterval = 900 * time.Millisecond
	// catchUpPause is the pause of a watch that is behind. It bounds the number of calls
	// if replies are small.
	catchUpPause = 20 * time.Millisecond
)

// WatchPacer determines the pauses of a watch.
type WatchPacer struct {
	incomplete int // fewest changes in a reply that was known to be incomplete, 0 if there was none
}

// Pause returns the pause after a reply with a number of changes; behind means that it
// didn't reach a revision known before. usual is the pause of a watch that keeps up. A
// reply as long as an earlier incomplete one counts as incomplete, too.
func (p *WatchPacer) Pause(usual time.Duration, changes int, behind bool) time.Duration {
	if behind && (p.incomplete == 0 || changes < p.incomplete) {
		p.incomplete = changes
	}
	if p.incomplete > 0 && changes >= p.incomplete {
		return min(usual, catchUpPause)
	}
	return usual
}
