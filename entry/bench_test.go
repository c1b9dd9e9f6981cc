package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/nutmegweir/nutmegweir/internal/metrics"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	port "github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/settings"
	"github.com/nutmegweir/nutmegweir/internal/standin/backend"
	"github.com/nutmegweir/nutmegweir/internal/standin/platform"
)

const (
	benchDomain  = model.Domain("muttrah")
	benchServers = 4
	benchSlots   = 16
	benchTasks   = 100 // per job
	benchCallers = 8
)

// startBench runs instances on stand-ins and returns them once all are ready.
func startBench(b *testing.B, replicas int, names ...model.Instance) []*Instance {
	b.Helper()
	store := platform.New(platform.Options{})
	addr := benchServe(b, store)
	for n := range benchServers {
		s := backend.New(backend.Options{Name: string(rune('a' + n)), Slots: benchSlots})
		at := netip.MustParseAddrPort(benchServe(b, s))
		store.Store.Register("backend", port.ServiceInstance{
			ID: string(rune('a' + n)), Addr: at, Domain: benchDomain, Slots: benchSlots, State: port.StateActive,
		})
	}
	var list []*Instance
	for _, name := range names {
		list = append(list, benchInstance(b, name, addr, replicas))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, i := range list {
		if err := i.WaitReady(ctx); err != nil {
			b.Fatal(err)
		}
	}
	return list
}

func benchServe(b *testing.B, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func benchInstance(b *testing.B, name model.Instance, platformAddr string, replicas int) *Instance {
	set := settings.Default()
	set.Instance = name
	set.Domain = benchDomain
	set.Domains = []model.Domain{benchDomain}
	set.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	set.Platform.Addr = platformAddr
	set.TLS.Caller.Plain, set.TLS.Peer.Plain, set.TLS.Operator.Plain = true, true, true
	set.Shards.Replicas = replicas
	i, err := New(Options{Settings: &set})
	if err != nil {
		b.Fatal(err)
	}
	i.Start()
	b.Cleanup(i.Close)
	return i
}

func benchSpec(tasks int) *peerpb.JobSpec {
	key := uuid.Must(uuid.NewV7())
	spec := &peerpb.JobSpec{
		Identity: &peerpb.Identity{Customer: "bench", Home: string(benchDomain), Key: key[:]},
		Kind:     "bench",
	}
	for range tasks {
		spec.Payloads = append(spec.Payloads, []byte(`{"run_ms":0}`))
	}
	return spec
}

// BenchmarkPath runs jobs of 100 no-op tasks from the reducer to backend servers
// and back, all in this process. One operation is one task.
func BenchmarkPath(b *testing.B) {
	b.Run("alone", func(b *testing.B) { benchPath(b, startBench(b, 0, "east")) })
	b.Run("replicated", func(b *testing.B) { benchPath(b, startBench(b, 1, "east", "west")) })
}

func benchPath(b *testing.B, list []*Instance) {
	b.ReportAllocs()
	b.ResetTimer()
	jobs := make(chan struct{}, b.N/benchTasks+1)
	for range b.N/benchTasks + 1 {
		jobs <- struct{}{}
	}
	close(jobs)
	var wg sync.WaitGroup
	for n := range benchCallers {
		wg.Go(func() {
			for range jobs {
				a, err := list[n%len(list)].runtime.Submit(context.Background(), benchSpec(benchTasks), true)
				if err != nil || a.Status != peerpb.Status_STATUS_COMPLETE {
					b.Errorf("answer %v, error %v", a, err)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	reportPeers(b, list)
}

// reportPeers reports the traffic on the links between the instances.
func reportPeers(b *testing.B, list []*Instance) {
	var frames, bytes, replication float64
	for _, i := range list {
		m := i.metrics
		frames += counterValue(m.PeerFrames.WithLabelValues(metrics.DirectionOut))
		bytes += counterValue(m.PeerBytes.WithLabelValues(metrics.DirectionOut))
		replication += counterValue(m.PeerMessages.WithLabelValues(metrics.DirectionOut, "append"))
		replication += counterValue(m.PeerMessages.WithLabelValues(metrics.DirectionOut, "append-ack"))
	}
	b.ReportMetric(frames/float64(b.N), "frames/task")
	b.ReportMetric(replication/float64(b.N), "appends+acks/task")
	b.ReportMetric(bytes/float64(b.N), "peerbytes/task")
}

func counterValue(c prometheus.Counter) float64 {
	var m dto.Metric
	if c.Write(&m) != nil {
		return 0
	}
	return m.GetCounter().GetValue()
}

// BenchmarkSingle runs jobs of one no-op task sequentially. The difference between
// its sub-benchmarks is what replication adds to a job.
func BenchmarkSingle(b *testing.B) {
	b.Run("alone", func(b *testing.B) { benchSingle(b, startBench(b, 0, "east")[:1]) })
	b.Run("replicated", func(b *testing.B) { benchSingle(b, startBench(b, 1, "east", "west")) })
}

// benchSingle submits to the owner of each job's shard, so that no forwarding
// is measured.
func benchSingle(b *testing.B, list []*Instance) {
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for range b.N {
		spec := benchSpec(1)
		owner := benchOwner(b, list, spec)
		began := time.Now()
		if _, err := owner.runtime.Submit(context.Background(), spec, true); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "us/p50")
}

func benchOwner(b *testing.B, list []*Instance, spec *peerpb.JobSpec) *Instance {
	for _, i := range list {
		text, err := i.runtime.Explain(context.Background(), spec.Identity)
		if err != nil {
			b.Fatal(err)
		}
		if !strings.Contains(text, "ask there") {
			return i
		}
	}
	return list[0]
}

// BenchmarkTakeover closes one of two instances without a handover and measures
// the time until the other has answered a submission to each of its shards.
func BenchmarkTakeover(b *testing.B) {
	for range b.N {
		b.StopTimer()
		list := startBench(b, 1, "east", "west")
		specs := benchOwned(b, list[0], list)
		list[0].Close()
		b.StartTimer()
		for _, spec := range specs {
			if _, err := list[1].runtime.Submit(context.Background(), spec, true); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// benchOwned returns jobs for shards that an instance owns.
func benchOwned(b *testing.B, owner *Instance, list []*Instance) []*peerpb.JobSpec {
	const jobs = 32
	var specs []*peerpb.JobSpec
	for len(specs) < jobs {
		spec := benchSpec(1)
		if benchOwner(b, list, spec) == owner {
			specs = append(specs, spec)
		}
	}
	return specs
}
