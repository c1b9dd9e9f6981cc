package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/runtime"
)

// dispatcher adapts the runtime to the caller port.
type dispatcher struct {
	*runtime.Runtime
	refusals *audit.RefusalCounter
}

// Submit submits a job and counts it for the audit trail if it is rejected.
func (d dispatcher) Submit(ctx context.Context, spec *peerpb.JobSpec, wait bool) (*peerpb.Answer, error) {
	a, err := d.Runtime.Submit(ctx, spec, wait)
	if err == nil && a.Status == peerpb.Status_STATUS_REFUSED {
		d.refusals.Add(model.Customer(spec.Identity.Customer), a.Problem)
	}
	return a, err
}

// Explain describes the state of a job.
func (d dispatcher) Explain(ctx context.Context, id *peerpb.Identity) (string, error) {
	return d.Runtime.Explain(ctx, id)
}

func (i *Instance) operatorRoutes(operators http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/readyz", i.serveReady)
	r.Get(api.PathStatus, i.serveStatus)
	r.Handle("/metrics", i.metrics.Handler(i.refreshGauges))
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.Mount("/", operators)
	return r
}

// refreshGauges sets the scheduler's gauges and returns the status for the rest.
func (i *Instance) refreshGauges(ctx context.Context) *api.InstanceStatus {
	if s, ok := i.runtime.SchedulerStats(ctx); ok {
		i.metrics.SetScheduler(s)
	}
	return i.runtime.Status(ctx)
}

// serveReady responds 200 while the instance can route submissions.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if i.stopping.Load() {
		http.Error(w, "the instance is stopping", http.StatusServiceUnavailable)
		return
	}
	if !i.runtime.Ready() {
		http.Error(w, "views of the home domain are not known yet", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (i *Instance) serveStatus(w http.ResponseWriter, r *http.Request) {
	s := i.runtime.Status(r.Context())
	if s == nil {
		http.Error(w, "the instance is closing", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}
