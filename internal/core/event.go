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

// Tick advances time. It comes every sched.TickInterval.
type Tick struct{}

// CallerRequest is a request of a caller at this instance. Exactly one Reply
// with its ID follows, and before it a pending one if Report is set.
type CallerRequest struct {
	ID              uint64 // chosen by the runtime, unique on this incarnation
	Op              Op
	Spec            *peerpb.JobSpec  // OpSubmit
	Identity        *peerpb.Identity // OpLookup and OpCancel
	Wait            bool             // OpLookup: wait for the final answer
	ReportAdmission bool             // OpSubmit: report the admission
}

// Op is what a caller asks for.
type Op uint8

// Operations of callers.
const (
	OpSubmit Op = iota
	OpLookup
	OpCancel
)

// CallerDisconnected says that nobody waits for a request any more.
type CallerDisconnected struct{ ID uint64 }

// PeerMessage is a message from another instance.
type PeerMessage struct {
	From    shard.Member
	Message *peerpb.Message
}

// PeerHello says that another instance has connected to this one, and where it
// takes connections itself. The platform may not have listed it yet.
type PeerHello struct{ Info InstanceInfo }

// PeerUp says that a fresh connection to Addr was answered by a process.
type PeerUp struct {
	Addr         string
	Member       shard.Member
	Domain       model.Domain
	DialedAt     model.Time // when the connection was begun
	SessionReset bool       // messages under way in either direction were lost
}

// PeerDown says that the link to Addr broke or is being tried.
type PeerDown struct{ Addr string }

// PeerRefused says that a fresh connection to Addr was refused.
type PeerRefused struct {
	Addr     string
	DialedAt model.Time // when the connection was begun
}

// PeerTimeout says that one fresh connection to Addr was not answered for
// the whole silence bound.
type PeerTimeout struct {
	Addr     string
	DialedAt model.Time // when the connection was begun
}

// InstanceInfo is an entry instance as the platform lists it.
type InstanceInfo struct {
	Member  shard.Member `json:"member"`
	Domain  model.Domain `json:"domain"`
	Addr    string       `json:"addr"` // peer address, IP:port
	Leaving bool         `json:"leaving,omitempty"`
	// ConfirmSeq counts the writes by which the instance has confirmed its views
	// after a pause. Only the instance itself raises it.
	ConfirmSeq uint64 `json:"confirm,omitempty"`
}

// Seeds are peer addresses from the settings, for a start while the platform
// is down.
type Seeds struct{ Addrs []string }

// Instances is the platform's list of live entry instances.
type Instances struct{ List []InstanceInfo }

// ViewsDoc is the document that holds the views of a failure domain.
type ViewsDoc struct {
	Instances []InstanceInfo `json:"instances"` // every member of a view
	Shards    []shard.View   `json:"shards"`
}

// Views is a document as the platform holds it. Readers get it from the
// platform or from a peer.
type Views struct {
	Domain model.Domain
	Index  uint64 // modification index
	Doc    ViewsDoc
	ReadAt model.Time // when the read began, 0 if not read from the platform
}

// WriteOutcome is how a compare-and-swap ended.
type WriteOutcome uint8

// Outcomes of a compare-and-swap.
const (
	WriteApplied WriteOutcome = iota
	WriteConflict
	WriteFailed  // certainly not applied
	WriteUnknown // the answer was lost
)

// ViewsWritten is the outcome of a WriteViews effect.
type ViewsWritten struct {
	Outcome WriteOutcome
	Index   uint64 // new modification index if applied
	Doc     ViewsDoc
}

// WatchFailed says that the platform does not answer the watch of instances
// and views. The next Instances ends it.
type WatchFailed struct{}

// ViewsReadFailed says that a ReadViews effect got no answer.
type ViewsReadFailed struct{}

// Servers is the list of backend servers.
type Servers struct{ List []sched.Server }

// ServerChecked is the outcome of a question for a server's health, which
// Effects.Checks has asked for.
type ServerChecked struct {
	Server  model.ServerID
	Healthy bool
}

// Table is a newer table of weights and limits.
type Table struct{ Snapshot *table.Snapshot }

// TaskDone is the outcome of a StartTask effect.
type TaskDone struct{ shard.TaskDone }

// Stop begins a graceful stop: shards are handed over.
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

// WriteViews asks for a compare-and-swap of the home domain's document.
type WriteViews struct {
	Index uint64 // 0 creates it
	Doc   ViewsDoc
}

// Notification is something that operators want to know.
type Notification struct {
	Kind   NotificationKind
	Domain model.Domain
	Shard  uint32
	Epoch  uint64
	Member shard.Member
	Server model.ServerID // NoteQuarantined and NoteRestored
}

// NotificationKind is the kind of a Note.
type NotificationKind uint8

// Kinds of notes.
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

// Effects is what the runtime has to do after a step.
type Effects struct {
	Sends         []Send
	Replies       []Reply
	Starts        []shard.StartTask
	WriteViews    *WriteViews
	ReadViews     bool
	HealthChecks  []model.ServerID // backend servers to ask for their health; a ServerChecked each follows
	Dial          []InstanceInfo   // all peers to keep a link to, nil if unchanged
	Notifications []Notification
	Peers         []sched.Peer // live instances, nil if unchanged
	InstanceCount int          // entry instances that may live, with this one, 0 if unchanged
}
