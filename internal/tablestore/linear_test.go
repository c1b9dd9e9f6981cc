package tablestore_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/platform/platformtest"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
)

// rowInput is an edit of a row from one value to another, or a read.
type rowInput struct {
	row      string
	read     bool
	from, to int // unique for each edit; 0 is an absent row
}

type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeConflict
	outcomeUnknown
	outcomeNone
)

// rowOutput is the result of an operation; value is set by reads and conflicts.
type rowOutput struct {
	outcome outcome
	value   int
}

// rowModel is a register with compare-and-swap for each row.
var rowModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byRow := make(map[string][]porcupine.Operation)
		for _, op := range history {
			row := op.Input.(rowInput).row
			byRow[row] = append(byRow[row], op)
		}
		var parts [][]porcupine.Operation
		for _, p := range byRow {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		value, in, out := state.(int), input.(rowInput), output.(rowOutput)
		switch {
		case in.read, out.outcome == outcomeConflict:
			if out.value == value && (in.read || value != in.from) {
				return []any{value}
			}
			return nil
		case out.outcome == outcomeNone:
			return []any{value}
		case out.outcome == outcomeUnknown && value == in.from:
			return []any{value, in.to}
		case out.outcome == outcomeUnknown:
			return []any{value}
		case value == in.from:
			return []any{in.to}
		}
		return nil
	},
}).ToModel()

const editTimeout = 300 * time.Millisecond

// concurrentEditor is an operator with a separate store and platform link.
type concurrentEditor struct {
	id    int
	rng   *rand.Rand
	store *tablestore.Store
	fake  *platformtest.Fake
	rec   *recorder
}

type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (r *recorder) add(client int, in rowInput, out rowOutput, call, ret int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: ret})
}

func (e *concurrentEditor) run(edits int) {
	for i := range edits {
		e.resetFaults()
		row := fmt.Sprintf("c%d", e.rng.IntN(3))
		base, value, ok := e.read(row)
		if !ok {
			continue
		}
		e.fake.Faults.SetFaults(e.randomFaults())
		time.Sleep(time.Duration(e.rng.IntN(100)) * time.Millisecond)
		e.edit(row, base, value, e.id*1000+i+1)
	}
}

// randomFaults may drop responses, reject or hang calls, or be so slow that a
// write takes effect after the edit timed out.
func (e *concurrentEditor) randomFaults() standin.Faults {
	f := standin.Faults{LatencyMs: int64(e.rng.IntN(5))}
	switch e.rng.IntN(6) {
	case 0:
		f.LoseAnswers = 1 + e.rng.IntN(3)
	case 1:
		f.Refuse = true
	case 2:
		f.Hang = true
	case 3:
		f.LatencyMs = editTimeout.Milliseconds()/3 + int64(e.rng.IntN(300))
	}
	return f
}

// resetFaults clears the editor's faults and sometimes pauses it.
func (e *concurrentEditor) resetFaults() {
	e.fake.Faults.SetFaults(standin.Faults{LatencyMs: int64(e.rng.IntN(5))})
	if e.rng.IntN(5) == 0 {
		time.Sleep(time.Duration(e.rng.IntN(200)) * time.Millisecond)
	}
}

func (e *concurrentEditor) read(row string) (base uint64, value int, ok bool) {
	call := time.Now().UnixNano()
	snap, err := e.store.Load(context.Background())
	if err != nil {
		return 0, 0, false
	}
	found, ok := snap.Row(change(row, 0, 0).Key)
	if ok {
		base, value = found.Version, *found.Concurrency
	}
	e.rec.add(e.id, rowInput{row: row, read: true}, rowOutput{value: value}, call, time.Now().UnixNano())
	return base, value, true
}

func (e *concurrentEditor) edit(row string, base uint64, from, to int) {
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	call := time.Now().UnixNano()
	req := request(fmt.Sprintf("edit-%d", to), change(row, base, to))
	_, err := e.store.Edit(ctx, req)
	out := classify(err)
	ret := time.Now().UnixNano()
	if out.outcome == outcomeUnknown {
		ret = 1 << 62 // it may still take effect at any time
	}
	e.rec.add(e.id, rowInput{row: row, from: from, to: to}, out, call, ret)
}

func classify(err error) rowOutput {
	var conflict *table.ConflictError
	switch {
	case err == nil:
		return rowOutput{outcome: outcomeDone}
	case errors.As(err, &conflict):
		c := conflict.Rows[0].Current
		if c == nil {
			return rowOutput{outcome: outcomeConflict}
		}
		return rowOutput{outcome: outcomeConflict, value: *c.Concurrency}
	case platform.KindOf(err) == platform.KindUnknown:
		return rowOutput{outcome: outcomeUnknown}
	}
	return rowOutput{outcome: outcomeNone}
}

func TestConcurrentEditsAreLinearizable(t *testing.T) {
	var seen [outcomeNone + 1]int
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backing := standin.NewStore(0)
				ops := runConcurrentEdits(backing, seed)
				if !porcupine.CheckOperations(rowModel, ops) {
					t.Fatalf("the history of %d operations is not linearizable", len(ops))
				}
				s := tablestore.New(tablestore.Options{Platform: platformtest.NewFake(backing), PagesPerPart: 1})
				requireReplay(t, s, requireWholeHistory(t, s))
				for _, op := range ops {
					if !op.Input.(rowInput).read {
						seen[op.Output.(rowOutput).outcome]++
					}
				}
			})
		})
	}
	t.Logf("edits by outcome (done, conflict, unknown, no effect): %v", seen)
	for o, n := range seen {
		if n == 0 {
			t.Errorf("no edit had outcome %d", o)
		}
	}
}

// runConcurrentEdits runs editors on the same rows and returns the history of
// their operations.
func runConcurrentEdits(backing *standin.Store, seed uint64) []porcupine.Operation {
	rec := &recorder{}
	var wg sync.WaitGroup
	for id := range 5 {
		f := platformtest.NewFake(backing)
		s := tablestore.New(tablestore.Options{Platform: f, LogBytes: 300, PagesPerPart: 1})
		e := &concurrentEditor{id: id + 1, rng: rand.New(rand.NewPCG(seed, uint64(id))), store: s, fake: f, rec: rec}
		wg.Go(func() { e.run(20) })
	}
	wg.Wait()
	time.Sleep(time.Second) // wait for writes still in flight
	return rec.ops
}

// requireReplay fails if the table differs from a replay of its history.
func requireReplay(t *testing.T, s *tablestore.Store, newestFirst []table.Edit) {
	t.Helper()
	edits := slices.Clone(newestFirst)
	slices.Reverse(edits)
	want, ok := table.Empty().Apply(edits)
	got, err := s.Load(t.Context())
	if err != nil || !ok || !sameRows(got, want) {
		t.Fatalf("table %+v, want %+v, error %v", got.Rows(), want.Rows(), err)
	}
}
