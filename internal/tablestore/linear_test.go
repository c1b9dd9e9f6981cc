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
	from, to int // values are unique for each edit; 0 is the absent row
}

type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeConflict
	outcomeUnknown
	outcomeNone
)

// rowOutput is how it ended; value is what a read or a conflict showed.
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

// concurrentEditor is an operator with a store and a link of its own.
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

func (r *concurrentEditor) run(edits int) {
	for i := range edits {
		r.resetFaults()
		row := fmt.Sprintf("c%d", r.rng.IntN(3))
		base, value, ok := r.read(row)
		if !ok {
			continue
		}
		r.fake.Faults.SetFaults(r.randomFaults())
		time.Sleep(time.Duration(r.rng.IntN(100)) * time.Millisecond)
		r.edit(row, base, value, r.id*1000+i+1)
	}
}

// randomFaults may lose answers, refuse or hang, or be so slow that a write
// takes effect after the edit gave up.
func (r *concurrentEditor) randomFaults() standin.Faults {
	f := standin.Faults{LatencyMs: int64(r.rng.IntN(5))}
	switch r.rng.IntN(6) {
	case 0:
		f.LoseAnswers = 1 + r.rng.IntN(3)
	case 1:
		f.Refuse = true
	case 2:
		f.Hang = true
	case 3:
		f.LatencyMs = editTimeout.Milliseconds()/3 + int64(r.rng.IntN(300))
	}
	return f
}

// resetFaults pauses the racer at times and ends its faults.
func (r *concurrentEditor) resetFaults() {
	r.fake.Faults.SetFaults(standin.Faults{LatencyMs: int64(r.rng.IntN(5))})
	if r.rng.IntN(5) == 0 {
		time.Sleep(time.Duration(r.rng.IntN(200)) * time.Millisecond)
	}
}

func (r *concurrentEditor) read(row string) (base uint64, value int, ok bool) {
	call := time.Now().UnixNano()
	snap, err := r.store.Load(context.Background())
	if err != nil {
		return 0, 0, false
	}
	found, ok := snap.Row(change(row, 0, 0).Key)
	if ok {
		base, value = found.Version, *found.Concurrency
	}
	r.rec.add(r.id, rowInput{row: row, read: true}, rowOutput{value: value}, call, time.Now().UnixNano())
	return base, value, true
}

func (r *concurrentEditor) edit(row string, base uint64, from, to int) {
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	call := time.Now().UnixNano()
	req := request(fmt.Sprintf("edit-%d", to), change(row, base, to))
	_, err := r.store.Edit(ctx, req)
	out := classify(err)
	ret := time.Now().UnixNano()
	if out.outcome == outcomeUnknown {
		ret = 1 << 62 // it may still take effect at any later time
	}
	r.rec.add(r.id, rowInput{row: row, from: from, to: to}, out, call, ret)
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
	t.Logf("edits done, in conflict, unknown, without effect: %v", seen)
	for o, n := range seen {
		if n == 0 {
			t.Errorf("no edit had outcome %d", o)
		}
	}
}

// runConcurrentEdits lets operators edit the same rows and returns the history.
func runConcurrentEdits(backing *standin.Store, seed uint64) []porcupine.Operation {
	rec := &recorder{}
	var wg sync.WaitGroup
	for id := range 5 {
		f := platformtest.NewFake(backing)
		s := tablestore.New(tablestore.Options{Platform: f, LogBytes: 300, PagesPerPart: 1})
		r := &concurrentEditor{id: id + 1, rng: rand.New(rand.NewPCG(seed, uint64(id))), store: s, fake: f, rec: rec}
		wg.Go(func() { r.run(20) })
	}
	wg.Wait()
	time.Sleep(time.Second) // the last writes on their way arrive
	return rec.ops
}

// requireReplay fails if the table differs from what its history gives.
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
