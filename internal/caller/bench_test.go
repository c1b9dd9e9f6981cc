package caller

import (
	"strings"
	"testing"
)

// BenchmarkDecodeJob decodes and checks a job of 100 tasks.
func BenchmarkDecodeJob(b *testing.B) {
	h := newTestHandler(&fakeDispatcher{})
	h.opts.Limits.Tasks, h.opts.Limits.BodyBytes = 100, 1<<20
	tasks := strings.Repeat(`{"crate":12,"row":"a7"},`, 100)
	body := []byte(strings.Replace(testBody, `[1,{"a":2}]`, "["+strings.TrimSuffix(tasks, ",")+"]", 1))
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := h.decodeJob(body); err != nil {
			b.Fatal(err)
		}
	}
}
