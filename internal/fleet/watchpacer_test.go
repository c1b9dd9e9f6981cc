package fleet

import (
	"testing"
	"time"
)

func TestWatchPacer(t *testing.T) {
	type reply struct {
		changes int
		behind  bool
		want    time.Duration
	}
	const usual = ServerWatchInterval
	cases := []struct {
		name    string
		usual   time.Duration
		replies []reply
	}{
		{"keeps up", usual, []reply{{300, false, usual}, {0, false, usual}, {700, false, usual}}},
		{"behind, then keeps up", usual, []reply{{500, true, catchUpPause}, {500, true, catchUpPause}, {160, false, usual}}},
		{"as long as an incomplete reply", usual, []reply{{500, true, catchUpPause}, {120, false, usual}, {500, false, catchUpPause}, {499, false, usual}}},
		{"limited by size", usual, []reply{{500, true, catchUpPause}, {200, true, catchUpPause}, {200, false, catchUpPause}}},
		{"nothing new since", usual, []reply{{500, true, catchUpPause}, {0, false, usual}}},
		{"short pauses stay", time.Millisecond, []reply{{500, true, time.Millisecond}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p WatchPacer
			for i, r := range c.replies {
				if got := p.Pause(c.usual, r.changes, r.behind); got != r.want {
					t.Errorf("reply %d: pause %v, want %v", i, got, r.want)
				}
			}
		})
	}
}
