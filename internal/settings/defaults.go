package settings

import "github.com/nutmegweir/nutmegweir/internal/api"

// Defaults of optional settings.
const (
	DefaultBackendService  = "backend"
	DefaultReadsPerSecond  = 100
	DefaultWritesPerSecond = 20
	DefaultTimeoutMs       = 1000
	DefaultShards          = 32
	DefaultReplicas        = 1
	DefaultSkewBoundMs     = 250
	DefaultSilenceBoundMs  = 2000
	DefaultDedupWindowS    = 900
	DefaultDedupMaxBytes   = 64 << 20
	DefaultJSONDepth       = 32
	DefaultStopBoundS      = 30
	DefaultLogLevel        = "info"
)

// Default returns settings with all defaults set.
func Default() Settings {
	return Settings{
		BackendService: DefaultBackendService,
		Platform: Platform{
			ReadsPerSecond:  DefaultReadsPerSecond,
			WritesPerSecond: DefaultWritesPerSecond,
			TimeoutMs:       DefaultTimeoutMs,
		},
		Shards: Shards{
			PerDomain:      DefaultShards,
			Replicas:       DefaultReplicas,
			SkewBoundMs:    DefaultSkewBoundMs,
			SilenceBoundMs: DefaultSilenceBoundMs,
			DedupWindowS:   DefaultDedupWindowS,
			DedupMaxBytes:  DefaultDedupMaxBytes,
		},
		Limits: Limits{
			BodyBytes:    api.MaxBodyBytes,
			PayloadBytes: api.MaxPayloadBytes,
			Tasks:        api.MaxTasks,
			HeaderBytes:  api.MaxHeaderBytes,
			JSONDepth:    DefaultJSONDepth,
		},
		StopBoundS: DefaultStopBoundS,
		LogLevel:   DefaultLogLevel,
	}
}
