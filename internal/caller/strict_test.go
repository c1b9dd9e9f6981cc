package caller

import (
	"runtime"
	"strings"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/problem"
)

// TestTasksAreCountedFirst guards against a body of permitted size that takes far more
// memory when it is decoded, as the budget for bodies only covers their bytes.
func TestTasksAreCountedFirst(t *testing.T) {
	body := []byte(`{"tasks":[` + strings.Repeat("1,", api.MaxBodyBytes/2-10) + "1]}")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := decodeStrict(body, 32, &api.Job{})
	runtime.ReadMemStats(&after)
	if !problem.Is(err, problem.TooLarge) {
		t.Errorf("got %v, want %s", err, problem.TooLarge)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > api.MaxBodyBytes {
		t.Errorf("%d bytes were allocated", allocated)
	}
}

// TestLongArrayInPayload guards against a limit on tasks that counts a payload's elements.
func TestLongArrayInPayload(t *testing.T) {
	list := "[" + strings.Repeat("1,", api.MaxTasks) + "1]"
	if err := decodeStrict([]byte(`{"tasks":[`+list+"]}"), 32, &api.Job{}); err != nil {
		t.Error(err)
	}
	if err := decodeStrict([]byte(`{"payload":`+list+"}"), 32, &api.Request{}); err != nil {
		t.Error(err)
	}
}
