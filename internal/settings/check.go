package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

// Bounds of numeric settings.
const (
	maxRatePerSecond    = 2000
	maxTimeoutMs        = 60_000
	maxShards           = 1024
	maxReplicas         = 1
	maxSkewBoundMs      = 10_000
	minSilenceBoundMs   = 100
	maxSilenceBoundMs   = 60_000
	maxDedupWindowS     = 86_400
	minDedupMaxBytes    = 16 << 20
	maxDedupMaxBytes    = 1 << 40
	minBodyBytes        = 1 << 10
	minHeaderBytes      = 1 << 10
	maxJSONDepth        = 1000
	minMemoryMB         = 128
	maxMemoryMB         = 1 << 20
	minFDs              = 400
	maxFDs              = 1 << 20
	maxStopBoundS       = 3600
	tokenDigestHexChars = 64
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(fmt.Sprintf(`^[0-9a-f]{%d}$`, tokenDigestHexChars))
	logLevels     = []string{"debug", "info", "warn", "error"}
)

// NameRemedy describes a valid name.
const NameRemedy = "write up to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"

// IsName reports whether s may name an instance, a failure domain, a customer
// or a kind.
func IsName(s string) bool { return namePattern.MatchString(s) }

// checker validates decoded settings. It skips fields that already have an error.
type checker struct {
	*decoder
	s *Settings
}

func (c *checker) check() {
	c.checkNames()
	c.checkListen()
	c.checkPeers()
	c.checkPlatform()
	c.checkTLS()
	c.checkTokens()
	c.checkShards()
	c.checkLimits()
	c.checkRange("stop_bound_s", int64(c.s.StopBoundS), 1, maxStopBoundS)
	c.checkLogLevel()
}

func (c *checker) report(path, message, remedy string) {
	for _, e := range c.errs {
		if e.Field == path {
			return
		}
	}
	c.addError(path, message, remedy)
}

func (c *checker) checkName(path, value string) {
	if value == "" {
		c.report(path, "is missing", NameRemedy)
		return
	}
	if !IsName(value) {
		c.report(path, fmt.Sprintf("%q is not a name", value), NameRemedy)
	}
}

func (c *checker) checkRange(path string, value, low, high int64) {
	if value < low || value > high {
		c.report(path, fmt.Sprintf("%d is out of bounds", value), fmt.Sprintf("write a number from %d to %d", low, high))
	}
}

func (c *checker) checkNames() {
	c.checkName("instance", string(c.s.Instance))
	c.checkName("domain", string(c.s.Domain))
	c.checkName("backend_service", c.s.BackendService)
	if len(c.s.Domains) == 0 {
		c.report("domains", "is missing", "list the names of all failure domains")
		return
	}
	seen := make(map[string]bool)
	for i, d := range c.s.Domains {
		path := fmt.Sprintf("domains[%d]", i)
		c.checkName(path, string(d))
		if seen[string(d)] {
			c.report(path, fmt.Sprintf("%q is given twice", d), "list each failure domain once")
		}
		seen[string(d)] = true
	}
	if c.s.Domain != "" && !c.s.HasDomain(c.s.Domain) {
		c.report("domain", fmt.Sprintf("%q is not in domains", c.s.Domain), "add it to domains or correct its spelling")
	}
}

// parseAddr parses an IP:port and reports whether it is valid.
func (c *checker) parseAddr(path, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.report(path, "is missing", "write IP:port, such as 10.0.0.1:7400")
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.report(path, fmt.Sprintf("%q is not IP:port", value), "write an IP address and a port, such as 10.0.0.1:7400; host names are not resolved")
		return netip.AddrPort{}, false
	}
	return addr, true
}

// checkDialAddr checks an IP:port that is dialed.
func (c *checker) checkDialAddr(path, value string) {
	addr, ok := c.parseAddr(path, value)
	if ok && (addr.Addr().IsUnspecified() || addr.Port() == 0) {
		c.report(path, fmt.Sprintf("%q can't be connected to", value), "write the IP address and port at which others can reach it")
	}
}

func (c *checker) checkListen() {
	ports := []struct{ path, value string }{
		{"listen.caller", c.s.Listen.Caller},
		{"listen.peer", c.s.Listen.Peer},
		{"listen.operator", c.s.Listen.Operator},
	}
	used := make(map[uint16]string)
	for _, p := range ports {
		addr, ok := c.parseAddr(p.path, p.value)
		if !ok || addr.Port() == 0 {
			continue
		}
		if other, taken := used[addr.Port()]; taken {
			c.report(p.path, fmt.Sprintf("port %d is also used by %s", addr.Port(), other), "give each of the three its own port")
		}
		used[addr.Port()] = p.path
	}
}

func (c *checker) checkPeers() {
	if c.s.Peers.Advertise != "" {
		c.checkDialAddr("peers.advertise", c.s.Peers.Advertise)
	} else if addr, err := netip.ParseAddrPort(c.s.Listen.Peer); err == nil && addr.Addr().IsUnspecified() {
		c.report("peers.advertise", "is missing while listen.peer names no single IP address", "write the IP:port that other instances connect to")
	}
	for i, seed := range c.s.Peers.Seeds {
		c.checkDialAddr(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
}

func (c *checker) checkPlatform() {
	p := &c.s.Platform
	c.checkDialAddr("platform.addr", p.Addr)
	c.checkRange("platform.reads_per_second", int64(p.ReadsPerSecond), 1, maxRatePerSecond)
	c.checkRange("platform.writes_per_second", int64(p.WritesPerSecond), 1, maxRatePerSecond)
	c.checkRange("platform.timeout_ms", int64(p.TimeoutMs), 1, maxTimeoutMs)
}

func (c *checker) checkTLS() {
	c.checkPort("tls.caller", &c.s.TLS.Caller, false)
	c.checkPort("tls.peer", &c.s.TLS.Peer, true)
	c.checkPort("tls.operator", &c.s.TLS.Operator, false)
}

// checkPort checks the TLS settings of one port. Mutual TLS needs a CA.
func (c *checker) checkPort(path string, p *Port, mutual bool) {
	named := p.Cert != "" || p.Key != "" || p.CA != ""
	if p.Plain {
		if named {
			c.report(path, "plain is true but files are named", "remove plain, or the files")
		}
		return
	}
	if !named {
		c.report(path, "is missing", "name cert and key, or write \"plain\": true to run without TLS")
		return
	}
	c.checkFile(path+".cert", p.Cert)
	c.checkFile(path+".key", p.Key)
	if mutual {
		c.checkFile(path+".ca", p.CA)
	}
}

func (c *checker) checkFile(path, value string) {
	if value == "" {
		c.report(path, "is missing", "name a PEM file")
	}
}

func (c *checker) checkTokens() {
	seen := make(map[string]bool)
	for i, t := range c.s.OperatorTokens {
		path := fmt.Sprintf("operator_tokens[%d]", i)
		c.checkName(path+".name", t.Name)
		if seen[t.Name] {
			c.report(path+".name", fmt.Sprintf("%q is given twice", t.Name), "give each token its own name")
		}
		seen[t.Name] = true
		if t.Role != RoleRead && t.Role != RoleWrite {
			c.report(path+".role", fmt.Sprintf("%q is not a role", t.Role), "write read or write")
		}
		if !digestPattern.MatchString(t.TokenSHA256) {
			c.report(path+".token_sha256", "is not a SHA-256 digest", "write the digest as 64 lower-case hexadecimal digits; never the token itself")
		}
	}
}

func (c *checker) checkShards() {
	s := &c.s.Shards
	c.checkRange("shards.per_domain", int64(s.PerDomain), 1, maxShards)
	c.checkRange("shards.replicas", int64(s.Replicas), 0, maxReplicas)
	c.checkRange("shards.skew_bound_ms", int64(s.SkewBoundMs), 1, maxSkewBoundMs)
	c.checkRange("shards.silence_bound_ms", int64(s.SilenceBoundMs), minSilenceBoundMs, maxSilenceBoundMs)
	c.checkRange("shards.dedup_window_s", int64(s.DedupWindowS), 1, maxDedupWindowS)
	c.checkRange("shards.dedup_max_bytes", s.DedupMaxBytes, minDedupMaxBytes, maxDedupMaxBytes)
}

func (c *checker) checkLimits() {
	l := &c.s.Limits
	c.checkRange("limits.body_bytes", l.BodyBytes, minBodyBytes, api.MaxBodyBytes)
	c.checkRange("limits.payload_bytes", int64(l.PayloadBytes), 1, api.MaxPayloadBytes)
	c.checkRange("limits.tasks", int64(l.Tasks), 1, api.MaxTasks)
	c.checkRange("limits.header_bytes", int64(l.HeaderBytes), minHeaderBytes, api.MaxHeaderBytes)
	c.checkRange("limits.json_depth", int64(l.JSONDepth), 1, maxJSONDepth)
	if l.MemoryMB != 0 {
		c.checkRange("limits.memory_mb", int64(l.MemoryMB), minMemoryMB, maxMemoryMB)
	}
	if l.MaxFDs != 0 {
		c.checkRange("limits.max_fds", int64(l.MaxFDs), minFDs, maxFDs)
	}
}

func (c *checker) checkLogLevel() {
	for _, level := range logLevels {
		if c.s.LogLevel == level {
			return
		}
	}
	c.report("log_level", fmt.Sprintf("%q is not a level", c.s.LogLevel), "write one of: "+strings.Join(logLevels, ", "))
}
