package core

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Tick advances time. It arrives every sched.TickInterval.
type Tick struct{}

// CallerRequest is a request of a caller of this instance. Exactly one final
// Reply with its ID follows, preceded by a pending one if ReportAdmission is
// set.
type CallerRequest struct {
	ID              uint64 // chosen by the runtime, unique within this incarnation
	Op              Op
	Spec            *peerpb.JobSpec  // OpSubmit
	Identity        *peerpb.Identity // OpLookup and OpCancel
	Wait            bool             // OpLookup: wait for the final answer
	ReportAdmission bool             // OpSubmit: reply when the job is admitted
}

// Op is the operation that a caller requests.
type Op uint8

// Values of Op.
const (
	OpSubmit Op = iota
	OpLookup
	OpCancel
)

// CallerDisconnected means that nobody waits for a request any longer.
type CallerDisconnected struct{ ID uint64 }

// PeerMessage is a message from another instance.
type PeerMessage struct {
	From    shard.Member
	Message *peerpb.Message
}

// PeerHello means that another instance has connected to this one. Info holds
// its own listen address; the platform may not have listed it yet.
type PeerHello struct{ Info InstanceInfo }

// PeerUp means that a process answered a new connection to Addr.
type PeerUp struct {
	Addr         string
	Member       shard.Member
	Domain       model.Domain
	DialedAt     model.Time // when the connection attempt started
	SessionReset bool       // messages in flight in either direction were lost
}

// PeerDown means that the link to Addr broke, or that dialing it failed in a
// way that proves nothing about the peer.
type PeerDown struct{ Addr string }

// PeerRefused means that a new connection to Addr was refused.
type PeerRefused struct {
	Addr     string
	DialedAt model.Time // when the connection attempt started
}

// PeerTimeout means that a new connection to Addr went unanswered for the whole
// silence bound.
type PeerTimeout struct {
	Addr     string
	DialedAt model.Time // when the connection attempt started
}

// InstanceInfo is an entry instance as listed by the platform.
type InstanceInfo struct {
	Member  shard.Member `json:"member"`
	Domain  model.Domain `json:"domain"`
	Addr    string       `json:"addr"` // peer address, IP:port
	Leaving bool         `json:"leaving,omitempty"`
	// ConfirmSeq counts the writes by which the instance confirmed its views
	// after a pause. Only the instance itself increments it.
	ConfirmSeq uint64 `json:"confirm,omitempty"`
}

// Seeds are peer addresses from the settings, for starting while the platform
// is down.
type Seeds struct{ Addrs []string }

// Instances is the platform's list of live entry instances.
type Instances struct{ List []InstanceInfo }

// ViewsDoc is the document that holds the views of a failure domain.
type ViewsDoc struct {
	Instances []InstanceInfo `json:"instances"` // all members of the views
	Shards    []shard.View   `json:"shards"`
}

// Views is the platform's document of a failure domain, read from the platform
// or received from a peer.
type Views struct {
	Domain model.Domain
	Index  uint64 // modification index
	Doc    ViewsDoc
	ReadAt model.Time // when the read started, 0 if not read from the platform
}

// WriteOutcome is the outcome of a compare-and-swap.
type WriteOutcome uint8

// Values of WriteOutcome.
const (
	WriteApplied WriteOutcome = iota
	WriteConflict
	WriteFailed  // certainly not applied
	WriteUnknown // the reply was lost
)

// ViewsWritten is the outcome of a WriteViews effect.
type ViewsWritten struct {
	Outcome WriteOutcome
	Index   uint64 // new modification index if applied
	Doc     ViewsDoc
}

// WatchFailed means that the platform doesn't answer the watch of instances and
// views. The next Instances event ends that state.
type WatchFailed struct{}

// ViewsReadFailed means that a ReadViews effect got no reply.
type ViewsReadFailed struct{}

// Servers is the list of backend servers.
type Servers struct{ List []sched.Server }

// ServerChecked is the outcome of a health check requested by
// Effects.HealthChecks.
type ServerChecked struct {
	Server  model.ServerID
	Healthy bool
}

// Table is a newer version of the table of weights and limits.
type Table struct{ Snapshot *table.Snapshot }

// TaskDone is the outcome of a StartTask effect.
type TaskDone struct{ shard.TaskDone }

// Stop starts a graceful shutdown, in which shards are handed over.
type Stop struct{}

func (Tick) event()               {}
func (CallerRequest) event()      {}
func (CallerDisconnected) event() {}
func (PeerMessage) event()        {}
func (PeerHello) event()          {}
func (PeerUp) event()             {}
func (PeerDown) event()           {}
func (PeerRefused) event()        {}
func (PeerTimeout) event()        {}
func (Seeds) event()              {}
func (Instances) event()          {}
func (Views) event()              {}
func (ViewsWritten) event()       {}
func (WatchFailed) event()        {}
func (ViewsReadFailed) event()    {}
func (Servers) event()            {}
func (ServerChecked) event()      {}
func (Table) event()              {}
func (TaskDone) event()           {}
func (Stop) event()               {}

// Send is a message to another instance.
type Send struct {
	To      model.Instance
	Message *peerpb.Message
}

// Reply is an answer to a CallerRequest.
type Reply struct {
	ID     uint64
	Answer *peerpb.Answer
}

// WriteViews requests a compare-and-swap of the home domain's document.
type WriteViews struct {
	Index uint64 // 0 creates the document
	Doc   ViewsDoc
}

// Notification reports a change to operators.
type Notification struct {
	Kind   NotificationKind
	Domain model.Domain
	Shard  uint32
	Epoch  uint64
	Member shard.Member
	Server model.ServerID // NotifyQuarantined and NotifyRestored
}

// NotificationKind is the kind of a Notification.
type NotificationKind uint8

// Values of NotificationKind.
const (
	NotifySuspended NotificationKind = iota
	NotifyResumed
	NotifyTakeover
	NotifyViewChanged
	NotifyPeerSilent
	NotifyFloorRaised
	NotifyQuarantined
	NotifyRestored
)

// Effects are the actions for the runtime to take after a step.
type Effects struct {
	Sends         []Send
	Replies       []Reply
	Starts        []shard.StartTask
	WriteViews    *WriteViews
	ReadViews     bool
	HealthChecks  []model.ServerID // backend servers to check; a ServerChecked follows for each
	Dial          []InstanceInfo   // all peers to keep a link to, nil if unchanged
	Notifications []Notification
	Peers         []sched.Peer // live instances, nil if unchanged
	InstanceCount int          // entry instances that may be alive, including this one, 0 if unchanged
}
