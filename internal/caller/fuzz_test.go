package caller

import (
	"bytes"
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/problem"
)

// FuzzJobBody checks that any body is either rejected with a typed problem
// that says "not run", or yields a job that survives encoding.
func FuzzJobBody(f *testing.F) {
	h := newTestHandler(&fakeDispatcher{})
	f.Add([]byte(testBody))
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, err := h.decodeJob(body)
		if err != nil {
			doc := problem.From(err).Document()
			if doc.Kind == string(problem.Internal) || doc.Ran != api.RanNo {
				t.Fatalf("rejected with %+v", doc)
			}
			return
		}
		var generic map[string]any
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.UseNumber()
		if err := decoder.Decode(&generic); err != nil {
			t.Fatalf("accepted a body that is not an object: %v", err)
		}
		again, err := json.Marshal(generic)
		if err != nil {
			t.Fatal(err)
		}
		var job api.Job
		if err := decodeStrict(again, h.opts.Limits.JSONDepth, &job); err != nil {
			t.Fatalf("the re-encoded body is rejected: %v", err)
		}
		id, err := h.makeIdentity(job.Customer, job.Home, job.Key)
		if err != nil || !proto.Equal(id, spec.Identity) || len(job.Tasks) != len(spec.Payloads) {
			t.Fatalf("the re-encoded body differs: %v", err)
		}
	})
}
