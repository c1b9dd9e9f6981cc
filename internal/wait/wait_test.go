package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration // of the context
		want    bool
		took    time.Duration
	}{
		{"full delay", 2 * time.Second, true, time.Second},
		{"context done first", time.Second / 2, false, time.Second / 2},
		{"context already done", 0, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				began := time.Now()
				got := Sleep(ctx, time.Second)
				if took := time.Since(began); got != c.want || took != c.took {
					t.Fatalf("%v after %v, want %v after %v", got, took, c.want, c.took)
				}
			})
		})
	}
}

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		Every(ctx, time.Second, func() { calls++ })
		if calls != 3 {
			t.Fatalf("%d calls, want 3", calls)
		}
	})
}

func TestBackoff(t *testing.T) {
	cases := []struct {
		name   string
		jitter float64
		reset  bool // after the third delay
		want   []time.Duration
	}{
		{"doubles up to Max", 0, false, []time.Duration{1, 2, 4, 5, 5}},
		{"reset", 0, true, []time.Duration{1, 2, 4, 1, 2}},
		{"jitter", 0.5, false, []time.Duration{1, 2, 4, 5, 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := Backoff{Min: time.Second, Max: 5 * time.Second, Jitter: c.jitter}
				for i, w := range c.want {
					if c.reset && i == 3 {
						b.Reset()
					}
					least := w * time.Second
					most := least + time.Duration(c.jitter*float64(least))
					began := time.Now()
					b.Sleep(t.Context())
					if took := time.Since(began); took < least || took > most {
						t.Fatalf("delay %d took %v, want %v to %v", i, took, least, most)
					}
				}
			})
		})
	}
}
