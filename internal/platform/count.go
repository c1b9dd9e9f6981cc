package platform

import "sync"

// Op is an operation of Platform.
type Op uint8

// Operations of Platform.
const (
	OpGet Op = iota
	OpList
	OpCAS
	OpDelete
	OpCreateSession
	OpRenewSession
	OpDestroySession
	OpAcquire
	OpServices
	numOps
)

var opNames = [numOps]string{
	"get", "list", "cas", "delete", "create-session", "renew-session",
	"destroy-session", "acquire", "services",
}

// String returns the name of the operation.
func (o Op) String() string { return opNames[o] }

// IsWrite reports whether the operation changes state on the platform.
func (o Op) IsWrite() bool {
	return o != OpGet && o != OpList && o != OpServices
}

// Call is one completed call. A blocking query counts as one call.
type Call struct {
	Op       Op
	Kind     Kind // KindNone on success
	Sent     int  // body bytes
	Received int  // body bytes
}

// Counter is notified of every call. It must be safe for concurrent use.
type Counter interface {
	Count(Call)
}

// CallCounts is a Counter that accumulates totals.
type CallCounts struct {
	mu     sync.Mutex
	totals Totals
}

// Totals holds the totals of CallCounts.
type Totals struct {
	Calls    [numOps]int
	Failed   int
	Sent     int // bytes
	Received int // bytes
}

// All returns the number of calls.
func (t Totals) All() int {
	n := 0
	for _, c := range t.Calls {
		n += c
	}
	return n
}

// Of returns the number of calls of one operation.
func (t Totals) Of(op Op) int { return t.Calls[op] }

// Count adds one call.
func (c *CallCounts) Count(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Calls[call.Op]++
	c.totals.Sent += call.Sent
	c.totals.Received += call.Received
	if call.Kind != KindNone {
		c.totals.Failed++
	}
}

// Totals returns the totals so far.
func (c *CallCounts) Totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals
}
