// Package settings reads the settings of an entry instance from JSON with
// comments and checks them as a whole.
//
// Unknown and repeated fields are rejected. All errors are reported together,
// each with its file, line, field path and remedy.
package settings

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Settings are the settings of one entry instance.
type Settings struct {
	Instance       model.Instance  `json:"instance"`        // unique among live instances
	Domain         model.Domain    `json:"domain"`          // failure domain of this instance
	Domains        []model.Domain  `json:"domains"`         // all failure domains, this one included
	Listen         Listen          `json:"listen"`          // addresses that the instance listens on
	Peers          Peers           `json:"peers"`           // how other instances are found
	Platform       Platform        `json:"platform"`        // the platform's key-value service
	BackendService string          `json:"backend_service"` // service name of backend servers in the platform's list
	TLS            TLS             `json:"tls"`             // transport security of each port
	OperatorTokens []OperatorToken `json:"operator_tokens"` // who may use the operator port
	Shards         Shards          `json:"shards"`          // sharding and replication of job records
	Limits         Limits          `json:"limits"`          // limits of a submission
	Scheduler      Scheduler       `json:"scheduler"`       // options of the scheduler
	StopBoundS     int             `json:"stop_bound_s"`    // longest graceful stop, in seconds
	LogLevel       string          `json:"log_level"`       // debug, info, warn or error
}

// Listen holds the listen addresses, each IP:port. Port 0 picks a free port.
type Listen struct {
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
}

// Peers configures how entry instances reach and find each other.
type Peers struct {
	// Advertise is the IP:port that other instances connect to. Empty means
	// the peer listen address.
	Advertise string `json:"advertise"`
	// Seeds are IP:port addresses of instances to try if the platform is down
	// at startup.
	Seeds []string `json:"seeds"`
}

// Platform configures access to the platform's key-value service and how much
// of its request rate this instance may use.
type Platform struct {
	Addr            string `json:"addr"` // IP:port
	ReadsPerSecond  int    `json:"reads_per_second"`
	WritesPerSecond int    `json:"writes_per_second"`
	TimeoutMs       int    `json:"timeout_ms"` // of one call other than a watch
}

// TLS holds the transport security of each port.
type TLS struct {
	Caller   Port `json:"caller"`
	Peer     Port `json:"peer"`
	Operator Port `json:"operator"`
}

// Port holds the transport security of one port. Either Plain is true, or
// the certificate and key are named. With CA set, the other side must present
// a certificate signed by it; the peer port requires that.
type Port struct {
	Plain bool   `json:"plain"`
	Cert  string `json:"cert"` // PEM file
	Key   string `json:"key"`  // PEM file
	CA    string `json:"ca"`   // PEM file
}

// Role says what an operator's token permits.
type Role string

// Values of Role.
const (
	RoleRead  Role = "read"
	RoleWrite Role = "write" // includes read
)

// OperatorToken permits one operator to use the operator port.
type OperatorToken struct {
	Name        string `json:"name"` // appears in the audit trail
	Role        Role   `json:"role"`
	TokenSHA256 string `json:"token_sha256"` // hexadecimal digest of the bearer token
}

// Digest returns the digest of the token, all zero if TokenSHA256 is not
// hexadecimal, which Parse rejects.
func (t *OperatorToken) Digest() [sha256.Size]byte {
	var digest [sha256.Size]byte
	if raw, err := hex.DecodeString(t.TokenSHA256); err == nil {
		copy(digest[:], raw)
	}
	return digest
}

// Shards holds the parameters of sharding and replication. PerDomain must be
// the same on every instance of all failure domains.
type Shards struct {
	PerDomain      int   `json:"per_domain"`
	Replicas       int   `json:"replicas"`         // copies besides the owner
	SkewBoundMs    int   `json:"skew_bound_ms"`    // largest clock skew assumed
	SilenceBoundMs int   `json:"silence_bound_ms"` // time after which an unanswered connection counts as unresponsive
	DedupWindowS   int   `json:"dedup_window_s"`   // age up to which a key is recognised
	DedupMaxBytes  int64 `json:"dedup_max_bytes"`  // memory for job records of one instance
}

// Limits holds the limits of a submission.
type Limits struct {
	BodyBytes    int64 `json:"body_bytes"`
	PayloadBytes int   `json:"payload_bytes"` // of one task
	Tasks        int   `json:"tasks"`
	HeaderBytes  int   `json:"header_bytes"`
	JSONDepth    int   `json:"json_depth"`
	MemoryMB     int   `json:"memory_mb"` // memory of the machine; 0 if not stated
	MaxFDs       int   `json:"max_fds"`   // file descriptors of the process; 0 means its own limit
}

// Scheduler holds the options of the scheduler.
type Scheduler struct {
	Seed uint64 `json:"seed"`
}

// HasDomain reports whether d is one of the failure domains.
func (s *Settings) HasDomain(d model.Domain) bool {
	for _, known := range s.Domains {
		if known == d {
			return true
		}
	}
	return false
}

// AdvertisedPeer returns the address that other instances connect to.
func (s *Settings) AdvertisedPeer() string {
	if s.Peers.Advertise != "" {
		return s.Peers.Advertise
	}
	return s.Listen.Peer
}
