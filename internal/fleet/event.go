package fleet

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Event is an input of Instance.Step.
type Event interface{ event() }

// Member is one life of an instance.
type Member struct {
	Instance    model.Instance
	Incarnation model.Incarnation
	Domain      model.Domain
	Addr        string // where peers connect to
	Weight      float64
}

// sameIncarnation reports whether two members are the sameIncarnation life of an instance.
func (m Member) sameIncarnation(o Member) bool {
	return m.Instance == o.Instance && m.Incarnation == o.Incarnation
}

// MembersListed tells which members the store lists. Fresh is false while the
// store doesn't answer.
type MembersListed struct{ Members []Member }

// StoreStatus tells whether the store answers this instance.
type StoreStatus struct{ Up bool }

// Ownership says who orders at a backend server.
type Ownership struct {
	Server      model.ServerID
	Owner       model.Instance    // empty: released
	Incarnation model.Incarnation // of the owner
	Revision    uint64            // of the write, the fencing token; 0: never owned
}

// OwnersChanged tells of ownerships that have changed.
type OwnersChanged struct{ Owners []Ownership }

// ServerState says whether a backend server takes work.
type ServerState int

// States of a backend server.
const (
	ServerReady ServerState = iota + 1
	ServerDraining
)

// ServerEntry is what a backend server says of itself.
type ServerEntry struct {
	ID       model.ServerID
	Service  string
	Addr     string
	Domain   model.Domain
	State    ServerState
	Capacity model.Resources
	Labels   []string
	Kind     string // servers of a kind are alike, empty if unknown
	Slots    int    // that it announces; capacity decides
	BootMs   int64  // Unix milliseconds of its start, tells its lives apart
}

// ServersListed tells of all backend servers that the store lists.
type ServersListed struct {
	Servers  []ServerEntry
	Revision uint64 // revision of the store
}

// ServersChanged tells what the store's list of backend servers has become since
// it was last told of, also if nothing has changed.
type ServersChanged struct{ ServerChanges }

// ClaimReply tells what became of a Claim or Release.
type ClaimReply struct {
	Owners    []Ownership // as they are in the store now
	Known     bool        // false: nothing is known
	Committed bool        // the claim took effect
}

// LinkUp tells that a link to a member is up.
type LinkUp struct{ Peer Member }

// LinkDown tells that a link to a member is down.
type LinkDown struct {
	Peer    Member
	Refused bool // nothing listens there any more
}

// PeerMessage is a message of another member.
type PeerMessage struct {
	From       Member
	ReceivedAt Time // it came; an instance that is short of processor time takes it in later
	Message    Message
}

// JobSubmitted is a job that a caller hands in.
type JobSubmitted struct {
	Call CallID
	Job  JobSpec
}

// CallerDisconnected tells that nobody waits for a call any more.
type CallerDisconnected struct{ Call CallID }

// StartOutcome says what became of an order to start a run.
type StartOutcome int

// Outcomes of a start.
const (
	StartAccepted       StartOutcome = iota + 1
	StartNotSent                     // no connection; nothing was or will be done
	StartUnanswered                  // it may have been done, or may be later
	StartFenced                      // another instance owns the server
	StartOutdated                    // a run of this task with this attempt or a later one was there
	StartRejected                    // the server was unhealthy, full, or the order came late
	StartServerReplaced              // the server is another than the one that was meant
	StartMalformed                   // the server can't read the order
)

// StartReply tells what became of a start.
type StartReply struct {
	Server  model.ServerID
	Run     RunID
	Outcome StartOutcome
	ClockMs int64 // of the server, 0 if unknown
	SentAt  Time
}

// StopReply tells what became of a stop.
type StopReply struct {
	Server model.ServerID
	Run    RunID
	OK     bool // the run has ended or is ending, and can't start any more
	Fenced bool
	SentAt Time
}

// ActiveRun is a run that a backend server lists.
type ActiveRun struct {
	Run     RunID
	Percent int // of its work
}

// EndKind says how a run ended.
type EndKind int

// Ways a run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndExpired
	EndOther
)

// EndedRun is an end that a backend server lists until it is acknowledged.
type EndedRun struct {
	Seq  int64 // from 1 in each life of the server
	Run  RunID
	Kind EndKind
}

// PollOutcome says whether a look was answered.
type PollOutcome int

// Outcomes of a look.
const (
	PollOK PollOutcome = iota + 1
	PollUnanswered
	PollFenced
	PollServerReplaced
)

// PollReply is what runs and has ended at a backend server.
type PollReply struct {
	Server   model.ServerID
	Outcome  PollOutcome
	Poll     Poll // that is answered
	SentAt   Time
	ClockMs  int64
	BootMs   int64
	Draining bool
	Running  []ActiveRun
	Ended    []EndedRun
}

// JobSaved tells what became of a SaveJob.
type JobSaved struct {
	ID       string
	Revision uint64  // of the write
	Conflict bool    // another instance has written; nothing was done
	Current  *Record // then: what the store holds, nil if that is nothing readable
}

// JobsScanned tells of the open jobs in the store.
type JobsScanned struct {
	Records []Record
	Members []Member // that the store listed after it had listed the jobs
	OK      bool     // false: the store didn't answer
}

// JobCancelled tells that the store holds a job as cancelled.
type JobCancelled struct{ ID string }

// MembershipRenewed tells that the store has renewed this instance's entry.
type MembershipRenewed struct{ SentAt Time }

// JobStateRequested asks how far a kept job is.
type JobStateRequested struct {
	Call CallID
	ID   string
}

// PendingCountRequested asks how many kept jobs of a route have not begun.
type PendingCountRequested struct {
	Call  CallID
	Route string
}

// ConfigApplied tells which configuration is in force.
type ConfigApplied struct{ Version uint64 }

// StopRequested tells that the instance is to stop.
type StopRequested struct{ Deadline Time }

// Tick tells that time has passed.
type Tick struct{}

func (MembersListed) event()         {}
func (StoreStatus) event()           {}
func (OwnersChanged) event()         {}
func (ServersListed) event()         {}
func (ServersChanged) event()        {}
func (ClaimReply) event()            {}
func (LinkUp) event()                {}
func (LinkDown) event()              {}
func (PeerMessage) event()           {}
func (JobSubmitted) event()          {}
func (CallerDisconnected) event()    {}
func (StartReply) event()            {}
func (StopReply) event()             {}
func (PollReply) event()             {}
func (JobSaved) event()              {}
func (JobsScanned) event()           {}
func (JobCancelled) event()          {}
func (MembershipRenewed) event()     {}
func (JobStateRequested) event()     {}
func (PendingCountRequested) event() {}
func (ConfigApplied) event()         {}
func (StopRequested) event()         {}
func (Tick) event()                  {}

// Effect is an output of Instance.Step.
type Effect interface{ effect() }

// StartRun orders a backend server to start a run.
type StartRun struct {
	Server     model.ServerID
	Addr       string
	Run        RunID
	Spec       string
	Fence      uint64
	LeaseEndMs int64 // on the server's clock
}

// StopRun orders a backend server to end a run and never to start it.
type StopRun struct {
	Server model.ServerID
	Addr   string
	Run    RunID
	Fence  uint64
}

// Poll asks a backend server what runs, and acknowledges ends.
type Poll struct {
	Server     model.ServerID
	Addr       string
	Fence      uint64
	AckedSeq   int64         // ends up to this number are acknowledged
	LeaseEndMs int64         // on the server's clock; 0: leases stay as they are
	Wait       time.Duration // for an end; 0 answers at once
	Immediate  bool          // sent beside a waiting look, to learn whether the server answers
}

// Claim writes that this instance owns backend servers, or none does, if their
// ownerships are still as given.
type Claim struct {
	Owner    model.Instance // empty to release
	Expected []Ownership
}

// SaveJob writes a kept job if the store still holds it at the record's
// revision. It is tried until the store has answered.
type SaveJob struct{ Record Record }

// ScanJobs asks for the open jobs in the store.
type ScanJobs struct{}

// WatchStore says whether the operator's configuration and the list of backend
// servers are to be followed in the store, with ConfigSeen, ServersSeen and
// ServersChanged. They are from the start.
type WatchStore struct {
	Enabled bool
	Servers int // that are listed, on which the decision depends
}

// ListServers asks for the store's list of backend servers once.
type ListServers struct{}

// SendPeer sends a message to a member.
type SendPeer struct {
	To      Member
	Message Message
}

// Connect asks for a link to a member, in place of those to its earlier lives.
type Connect struct{ Peer Member }

// Disconnect ends the link to a member that is gone.
type Disconnect struct{ Peer Member }

// Reconnect replaces the link to a member, which may be silent though the member
// lives.
type Reconnect struct{ Peer Member }

// Answer is the final answer to a caller.
type Answer struct {
	Call   CallID
	Result Result
}

// SendConfig passes the operator's configuration in force on to a member.
type SendConfig struct{ To Member }

// LogEntry is a decision for the log.
type LogEntry struct {
	Kind   LogKind
	Call   CallID
	Job    string
	Peer   model.Instance
	Server model.ServerID
	Run    RunID
	Count  int
	Age    time.Duration // of the input that decided
	Value  uint64        // version or token
	Reason string
}

func (StartRun) effect()    {}
func (StopRun) effect()     {}
func (Poll) effect()        {}
func (Claim) effect()       {}
func (SaveJob) effect()     {}
func (ScanJobs) effect()    {}
func (WatchStore) effect()  {}
func (ListServers) effect() {}
func (SendPeer) effect()    {}
func (SendConfig) effect()  {}
func (Connect) effect()     {}
func (Disconnect) effect()  {}
func (Reconnect) effect()   {}
func (Answer) effect()      {}
func (LogEntry) effect()    {}

// LogKind says what a Note tells.
type LogKind int

// Kinds of Note.
const (
	LogMemberLive LogKind = iota + 1
	LogMemberDead
	LogServerOwned
	LogServerReleased
	LogServerFenced
	LogServerSilent
	LogServerBack
	LogServerReborn
	LogServerQuarantined
	LogServerRestored
	LogForeignRun
	LogRunUnanswered
	LogRunLost
	LogRunFailed
	LogRunOverdue
	LogJobRouted
	LogJobBounced
	LogJobQueued
	LogJobEnded
	LogJobTakenBack
	LogJobAdopted
	LogJobLost
	LogHoldDoubted
	LogPauseDetected
)

// Message is what members tell each other.
type Message interface{ message() }

// Heartbeat tells that a member lives, and how busy the backend servers are at which
// it orders.
type Heartbeat struct {
	Leaving         bool
	StoreUp         bool          // the store answers the sender
	Busy            bool          // the sender has servers or jobs, and needs frequent beats
	Loads           []Load        // one a service
	ConfigVersion   uint64        // version in force
	LastReceivedAge time.Duration // since the last message of the receiver
	SentAt          Time          // on the sender's clock
	Echo            Time          // SentAt of the receiver's last Beat that the sender took in, 0 before the first
	OffloadedMilli  float64       // milli-cores of parts that came from the receiver on its present link
	DurableInUse    bool          // some job is kept in the fleet
	Pending         []RouteCount  // kept jobs of the sender of which nothing has started
}

// RouteCount is a number of jobs of a route.
type RouteCount struct {
	Route string
	Count int
}

// Load is how busy an owner's backend servers of a service are.
type Load struct {
	Service       string
	Servers       int     // that serve
	CapacityMilli float64 // milli-cores
	FreeMilli     float64 // milli-cores in parts large enough for a task
	ExpectedWait  time.Duration
	QueuedTasks   int // tasks of the owner's own jobs
	StagedTasks   int // tasks of other owners that wait for the next room
}

// Offer hands a job to the instance that orders at backend servers.
type Offer struct {
	Call       CallID
	Job        JobSpec
	Age        time.Duration // since the caller handed it in
	AllowQueue bool          // it may be queued; else it comes back if it can't start at once
}

// Withdraw tells that nobody waits for an offered job any more.
type Withdraw struct{ Call CallID }

// Outcome is the answer to an Offer.
type Outcome struct {
	Call           CallID
	Result         Result
	Declined       bool   // not taken; offer it elsewhere
	Attempt        uint32 // of a part: its last start
	Load           Load
	OffloadedMilli float64 // as in Beat, if Load is set
}

// Resync lists the offers that the sender still waits for, after a link between
// it and the receiver broke.
type Resync struct {
	Calls []CallID
	Reply bool // to a Resync of the receiver
}

// OwnersUpdate passes on ownerships that the sender has just written, so that the
// others need not wait for the store to tell them.
type OwnersUpdate struct{ Owners []Ownership }

// ServersUpdate passes on what has changed in the list of backend servers.
type ServersUpdate struct{ ServerChanges }

// ConfigRequest asks for the operator's configuration, of which the sender has an
// older version.
type ConfigRequest struct{ HaveVersion uint64 }

// JobsReleased tells that the sender has released kept jobs, which the receiver
// should take over.
type JobsReleased struct{}

// JobEnded tells the instance that took a kept job in how it has ended, once the
// store holds that.
type JobEnded struct {
	ID    string
	State JobState
}

func (JobsReleased) message()  {}
func (ConfigRequest) message() {}
func (JobEnded) message()      {}
func (JobEnded) effect()       {}
func (Heartbeat) message()     {}
func (Offer) message()         {}
func (Withdraw) message()      {}
func (Outcome) message()       {}
func (Resync) message()        {}
func (OwnersUpdate) message()  {}
func (ServersUpdate) message() {}

// String implements fmt.Stringer.
func (o StartOutcome) String() string {
	names := [...]string{"", "done", "not-sent", "unanswered", "fenced", "outdated", "refused", "reborn", "malformed"}
	if o <= 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}
