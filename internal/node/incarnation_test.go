package node

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	port "github.com/nutmegweir/nutmegweir/internal/platform"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/platform"
)

// startSite records the starts of processes in a store.
type startSite struct {
	t     *testing.T
	store *standin.Handler
	addr  string
	logs  *logLines
}

func newStartSite(t *testing.T) *startSite {
	s := &startSite{t: t, store: standin.New(standin.Options{MinSessionTTL: time.Second}), logs: &logLines{}}
	h := httptest.NewServer(s.store)
	t.Cleanup(h.Close)
	s.addr = strings.TrimPrefix(h.URL, "http://")
	return s
}

// process returns the record of a process of instance n1 that starts at a time.
func (s *startSite) process(at time.Time) *startRecord {
	log, err := eventlog.New(s.logs, "info")
	if err != nil {
		s.t.Fatal(err)
	}
	return &startRecord{
		instance: "n1", startedAt: at, store: platform.NewStore(platform.StoreSettings{Addr: s.addr}, nil),
		log: newLimitedLog(log, metrics.NewFleet()),
	}
}

func (s *startSite) start(at time.Time) model.Incarnation {
	s.t.Helper()
	i, err := s.process(at).next(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	return i
}

// clockIncarnation returns the incarnation of a process that knows of no earlier one.
func clockIncarnation(at time.Time) model.Incarnation { return startIncarnation(at.UnixNano()) }

var noon = time.Date(2026, 8, 3, 12, 0, 0, 0, time.UTC)

// TestIncarnationRisesWhateverTheClock restarts an instance while its clock is back, or
// stands still. Others would take the new process for an earlier one, and take over its
// servers and jobs while it runs.
func TestIncarnationRisesWhateverTheClock(t *testing.T) {
	for name, steps := range map[string][]time.Duration{
		"clock goes on":           {time.Second, time.Second},
		"clock stands":            {0, 0},
		"back by a minute":        {-time.Minute, time.Second, time.Second},
		"back by 2 s, 2 restarts": {500 * time.Millisecond, -2 * time.Second, 500 * time.Millisecond},
		"ahead for a while":       {time.Hour, -time.Hour, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStartSite(t)
			at := noon
			last := s.start(at)
			for _, d := range steps {
				at = at.Add(d)
				i := s.start(at)
				if i <= last || i < clockIncarnation(at) {
					t.Errorf("incarnation %s at %v, after %s", i, at, last)
				}
				last = i
			}
		})
	}
}

// TestStartsAtTheSameTimeDiffer starts processes that share a record at the same time.
func TestStartsAtTheSameTimeDiffer(t *testing.T) {
	s := newStartSite(t)
	var mu sync.Mutex
	seen := map[model.Incarnation]bool{}
	var wg sync.WaitGroup
	const processes = 4
	for range processes {
		p := s.process(noon)
		wg.Go(func() {
			i, err := retryNext(t.Context(), p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || seen[i] {
				t.Errorf("incarnation %s, seen before: %v, error %v", i, seen[i], err)
			}
			seen[i] = true
		})
	}
	wg.Wait()
}

// retryNext isn't bounded by the time that a start may take.
func retryNext(ctx context.Context, p *startRecord) (i model.Incarnation, err error) {
	for range 20 {
		if i, err = p.next(ctx); err == nil {
			return i, nil
		}
	}
	return i, err
}

// TestStartAfterLostAnswer loses the answer to the write of a start.
func TestStartAfterLostAnswer(t *testing.T) {
	s := newStartSite(t)
	first := s.start(noon)
	s.store.Faults.SetFaults(standin.Faults{LoseAnswers: 1})
	second := s.start(noon.Add(-time.Minute))
	if third := s.start(noon.Add(-time.Minute)); second <= first || third <= second {
		t.Errorf("incarnations %s, %s, %s don't rise", first, second, third)
	}
}

// TestStartWithoutStore starts while the store rejects all calls. The instance uses its
// clock, and the store learns later what it uses.
func TestStartWithoutStore(t *testing.T) {
	s := newStartSite(t)
	s.store.Faults.SetFaults(standin.Faults{Refuse: true})
	p := s.process(noon)
	used, err := p.next(t.Context())
	if err == nil || used != clockIncarnation(noon) {
		t.Errorf("incarnation %s, error %v, want %s and an error", used, err, clockIncarnation(noon))
	}
	s.store.Faults.SetFaults(standin.Faults{})
	p.keep(t.Context())
	if next := s.start(noon.Add(-time.Minute)); next <= used {
		t.Errorf("incarnation %s after %s", next, used)
	}
}

// TestKeptIncarnationDoesNotReplaceLater records a start late, after a later one.
func TestKeptIncarnationDoesNotReplaceLater(t *testing.T) {
	s := newStartSite(t)
	later := s.start(noon)
	early := s.process(noon)
	early.number = noon.Add(-time.Minute).UnixNano()
	early.keep(t.Context())
	if next := s.start(noon.Add(-time.Minute)); next <= later {
		t.Errorf("incarnation %s after %s", next, later)
	}
}

// TestStartWithUnreadableRecord finds what another writer has left.
func TestStartWithUnreadableRecord(t *testing.T) {
	for _, value := range []string{"{", `{"latest":"no number"}`, `{"latest":9223372036854775807}`, `{"latest":1e30}`, `{"latest":-1}`, `{}`, ""} {
		s := newStartSite(t)
		s.store.Store.Commit(standin.Txn{Writes: []port.Entry{{Key: platform.StartKey("n1"), Value: []byte(value)}}})
		if i := s.start(noon); i != clockIncarnation(noon) {
			t.Errorf("%q: incarnation %s, want %s", value, i, clockIncarnation(noon))
		}
		if i := s.start(noon.Add(-time.Minute)); i <= clockIncarnation(noon) {
			t.Errorf("%q: the next incarnation is %s", value, i)
		}
	}
}
