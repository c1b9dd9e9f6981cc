package fleet

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Event is an input of Instance.Step.
type Event interface{ event() }

// Member is one incarnation of an instance.
type Member struct {
	Instance    model.Instance
	Incarnation model.Incarnation
	Domain      model.Domain
	Addr        string // address for peer connections
	Weight      float64
}

// sameIncarnation reports whether two members are the same incarnation of an instance.
func (m Member) sameIncarnation(o Member) bool {
	return m.Instance == o.Instance && m.Incarnation == o.Incarnation
}

// memberKey identifies an incarnation of an instance.
type memberKey struct {
	instance    model.Instance
	incarnation model.Incarnation
}

func (m Member) key() memberKey { return memberKey{m.Instance, m.Incarnation} }

// MembersListed holds the members listed in the store.
type MembersListed struct{ Members []Member }

// StoreStatus reports whether this instance can reach the store.
type StoreStatus struct{ Up bool }

// Ownership records which instance owns a backend server.
type Ownership struct {
	Server      model.ServerID
	Owner       model.Instance    // empty if released
	Incarnation model.Incarnation // of the owner
	Revision    uint64            // of the last write; 0 if never owned
	Rank        int               // 0 for the recorded owner, else the position of the successor that took over, from 1
	Successors  []Successor       // in the order in which they may take over while the store is down
	// Absent means that the store has no record any more, though nobody here removes
	// one. Revision is then that of the removal or of the last known write.
	Absent bool
}

// OwnersChanged holds changed ownerships.
type OwnersChanged struct{ Owners []Ownership }

// ServerState is the state that a backend server announces.
type ServerState int

// States of a backend server.
const (
	ServerReady ServerState = iota + 1
	ServerDraining
)

// ServerEntry is a backend server's own entry in the store.
type ServerEntry struct {
	ID       model.ServerID
	Service  string
	Addr     string
	Domain   model.Domain
	State    ServerState
	Capacity model.Resources
	Labels   []string
	Kind     string // servers of a kind are alike; empty if unknown
	Slots    int    // announced by the server; placement uses Capacity
	BootMs   int64  // Unix milliseconds, distinguishes restarts
	// ReportedAtMs is when the server wrote the entry, on its own clock; 0 if unknown.
	// Entries that differ in this alone are equal.
	ReportedAtMs int64
	// ColdLeftMs is how much longer the server stays slow after its start, from
	// ReportedAtMs on. Entries whose sums of both are about equal are equal.
	ColdLeftMs int64
}

// ServersListed holds all backend servers listed in the store.
type ServersListed struct {
	Servers  []ServerEntry
	Revision uint64 // store revision of the list
}

// ServersChanged holds the changes in the store's list of backend servers since the
// previous event. It is sent even if nothing has changed.
type ServersChanged struct{ ServerChanges }

// ClaimReply is the result of a Claim.
type ClaimReply struct {
	Owners    []Ownership // current state in the store
	Known     bool        // false if the result is unknown
	Committed bool        // the claim took effect
}

// LinkUp reports an established link to a member.
type LinkUp struct{ Peer Member }

// LinkDown reports a lost link to a member.
type LinkDown struct {
	Peer    Member
	Refused bool // the connection was refused: no process listens there
}

// PeerMessage is a message received from another member.
type PeerMessage struct {
	From       Member
	ReceivedAt Time // by the process; Step may see it later when CPU time is short
	Message    Message
}

// JobSubmitted is a job submitted by a caller.
type JobSubmitted struct {
	Call CallID
	Job  JobSpec
}

// CallerDisconnected reports that a caller no longer waits for its call.
type CallerDisconnected struct{ Call CallID }

// StartOutcome is the result of a start command.
type StartOutcome int

// Outcomes of a start.
const (
	StartAccepted       StartOutcome = iota + 1
	StartNotSent                     // no connection; the command was not and will not be executed
	StartUnanswered                  // may have been executed or may still be
	StartFenced                      // another instance owns the server
	StartOutdated                    // the server has already seen this or a later attempt of the task
	StartRejected                    // the server is unhealthy or full, or the command arrived too late
	StartServerReplaced              // another server process answers at the address
	StartMalformed                   // the server can't parse the command
)

// StartReply is the result of a StartRun.
type StartReply struct {
	Server  model.ServerID
	Run     RunID
	Outcome StartOutcome
	ClockMs int64 // server clock, 0 if unknown
	SentAt  Time
}

// StopReply is the result of a StopRun.
type StopReply struct {
	Server model.ServerID
	Run    RunID
	OK     bool // the run has ended or is ending, and can't start again
	Fenced bool
	SentAt Time
}

// ActiveRun is a run that a backend server lists as running.
type ActiveRun struct {
	Run     RunID
	Percent int // progress
}

// EndKind is the way a run ended.
type EndKind int

// Kinds of run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndExpired
	EndOther
)

// EndedRun is a run end that a backend server lists until it is acknowledged.
type EndedRun struct {
	Seq  int64 // from 1 after each restart of the server
	Run  RunID
	Kind EndKind
}

// PollOutcome is the result of a poll.
type PollOutcome int

// Outcomes of a poll.
const (
	PollOK PollOutcome = iota + 1
	PollUnanswered
	PollFenced
	PollServerReplaced
)

// PollReply lists the running and ended runs of a backend server.
type PollReply struct {
	Server   model.ServerID
	Outcome  PollOutcome
	Poll     Poll // the request
	SentAt   Time
	ClockMs  int64
	BootMs   int64
	Draining bool
	Capacity *model.Resources // nil if the reply doesn't tell it
	Running  []ActiveRun
	Ended    []EndedRun
	MoreEnds bool // some ends may be left out until those listed are acknowledged
}

// JobSaved is the result of a SaveJob.
type JobSaved struct {
	ID       string
	Revision uint64  // of this write
	Conflict bool    // another instance wrote first; nothing was saved
	Current  *Record // on conflict: the stored record, nil if it can't be read
	// Cancelled reports that the conflict is a cancel: the job isn't stored and won't be.
	Cancelled bool
}

// JobsScanned holds the open jobs in the store.
type JobsScanned struct {
	Records []Record
	Members []Member // listed in the store after the jobs were read
	OK      bool     // false if the store didn't answer
}

// JobCancelled reports a job that is stored as cancelled, durable or not.
type JobCancelled struct{ ID string }

// MembershipRenewed reports that the store has renewed this instance's entry.
type MembershipRenewed struct {
	SentAt  Time
	Created bool // the store had no entry of this incarnation
}

// JobStateRequested asks for the state of a durable job.
type JobStateRequested struct {
	Call CallID
	ID   string
}

// PendingCountRequested asks how many durable jobs of a route have not started.
type PendingCountRequested struct {
	Call  CallID
	Route string
}

// ConfigApplied reports the version of the configuration in force.
type ConfigApplied struct{ Version uint64 }

// StopRequested starts a graceful stop.
type StopRequested struct{ Deadline Time }

// RepliesOverdue reports that the time of Instance.NextOverdueAt has come.
type RepliesOverdue struct{}

// Tick drives everything that depends on time.
type Tick struct{}

// InputProcessed reports that the reducer has processed all input that had reached the
// process by a time, such as callers that left. Regular reports bound how long the
// instance may take calls of its own for wanted.
type InputProcessed struct{ At Time }

func (MembersListed) event()         {}
func (InputProcessed) event()        {}
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
func (RepliesOverdue) event()        {}
func (Tick) event()                  {}

// Effect is an output of Instance.Step.
type Effect interface{ effect() }

// StartRun commands a backend server to start a run.
type StartRun struct {
	Server     model.ServerID
	Addr       string
	Run        RunID
	Spec       string
	Fence      uint64 // fencing token
	LeaseEndMs int64  // on the server's clock
}

// StopRun commands a backend server to end a run and never to start it.
type StopRun struct {
	Server model.ServerID
	Addr   string
	Run    RunID
	Fence  uint64 // fencing token
}

// Poll lists the runs of a backend server and acknowledges run ends.
type Poll struct {
	Server     model.ServerID
	Addr       string
	Fence      uint64        // fencing token
	AckedSeq   int64         // acknowledges ends up to this sequence number
	LeaseEndMs int64         // on the server's clock; 0 leaves the leases unchanged
	Wait       time.Duration // long-poll time; 0 returns immediately
	Immediate  bool          // sent alongside a long poll to test whether the server responds
}

// Claim takes or releases ownership of backend servers by compare-and-swap on their
// current ownerships.
type Claim struct {
	Owner    model.Instance // empty to release
	Expected []Ownership
}

// SaveJob writes a durable job by compare-and-swap on the record's revision. It is
// retried until the store answers.
type SaveJob struct{ Record Record }

// ScanJobs reads the open jobs from the store.
type ScanJobs struct {
	CountOnly bool // to count them; the removal of finished ones is left to other scans
}

// WatchStore starts or stops watching the operator's configuration and the list of
// backend servers in the store, which yields ConfigApplied, ServersListed and
// ServersChanged. An instance starts with the watch enabled.
type WatchStore struct {
	Enabled bool
	Servers int // number of listed servers that the decision is based on
}

// ListServers reads the store's list of backend servers once.
type ListServers struct{}

// SendPeer sends a message to a member.
type SendPeer struct {
	To      Member
	Message Message
}

// Connect opens a link to a member and replaces links to its earlier incarnations.
type Connect struct{ Peer Member }

// Disconnect closes the link to a member.
type Disconnect struct{ Peer Member }

// Reconnect replaces the link to a member that may be alive, as the link may be broken
// in one direction.
type Reconnect struct{ Peer Member }

// Answer is the final answer to a caller.
type Answer struct {
	Call   CallID
	Result Result
}

// SendConfig sends the operator's configuration in force to a member.
type SendConfig struct{ To Member }

// LogEntry is a decision to be logged.
type LogEntry struct {
	Kind   LogKind
	Call   CallID
	Offer  CallID // of the job to an owner; names it together with the instance that has the call
	Job    string
	Peer   model.Instance
	Server model.ServerID
	Domain model.Domain // evacuated or restored
	Run    RunID
	Count  int
	Age    time.Duration // of the information the decision is based on
	Value  uint64        // version or fencing token
	Reason string
	Near   time.Duration // until a task has run near its data
	Far    time.Duration // of a run elsewhere, with what it takes from other work
	At     Time          // of the decision, if the entry has records
	Record *RunRecord    // of Run
	Runs   []RunRecord   // of Job
	Class  *JobClass     // of Job, if it was queued or rejected
}

// JobClass is what the treatment of a job at a capacity shortage depends on.
type JobClass struct {
	Route    string
	Priority int
	Domain   model.Domain // failure domain of the caller, empty if it isn't known
}

// RefusedPrefix begins the reason of a LogJobQueued entry of a rejected job; the rule by
// which it was rejected follows.
const RefusedPrefix = "refused: "

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

// LogKind is the kind of a LogEntry, named after its log event.
type LogKind int

// Kinds of LogEntry.
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
	LogJobDeferred
	LogJobQueued
	LogJobEnded
	LogJobTakenBack
	LogJobAdopted
	LogJobLost
	LogHoldDoubted
	LogPauseDetected
	LogServerLeaving
	LogListGap
	LogListRead
	LogRunStarted
	LogRunEnded
	LogTaskDelayed
	LogTaskSuspected
	LogCrashConfirmed
	LogTaskGivenUp
	LogDomainEvacuated
	LogDomainRestored
	LogPlaceWait
	LogOffloadDropped
)

// Message is a message between members.
type Message interface{ message() }

// Heartbeat reports that a member is alive and the load of its backend servers.
type Heartbeat struct {
	Leaving         bool
	StoreUp         bool           // the sender reaches the store
	Busy            bool           // the sender has servers or jobs and needs frequent heartbeats
	Loads           []Load         // one per service
	ConfigVersion   uint64         // in force at the sender
	LastReceivedAge time.Duration  // since the sender last received a message from the receiver
	SentAt          Time           // on the sender's clock
	Echo            Time           // SentAt of the receiver's last Heartbeat that the sender has processed, 0 if none
	OffloadedMilli  float64        // milli-cores of offloaded tasks received from the receiver on the current link
	DurableInUse    bool           // some durable job exists in the fleet
	Pending         []RouteCount   // durable jobs of the sender that have not started
	RenewedAt       Time           // last renewal of the sender's entry in the store, on its clock; 0 if unknown
	Inquiries       []Member       // incarnations whose presence the sender asks for
	Reports         []MemberReport // answers to the Inquiries of the receiver's heartbeats

	Evacuated          []model.Domain // evacuated failure domains, sorted
	EvacuationRevision uint64         // of the store, as of which Evacuated holds; 0 if the sender never heard of an evacuation

	OpenCalls *OpenCalls // nil if unchanged since the last Heartbeat on this link
}

// OpenCalls lists the jobs of the sender's calls that have been open for a while: their
// callers may have lost the connection and submit them again elsewhere.
type OpenCalls struct{ Jobs []string }

// RouteCount is the number of jobs of a route.
type RouteCount struct {
	Route string
	Count int
}

// Load is the load of an owner's backend servers for one service.
type Load struct {
	Service       string
	Servers       int // that accept work
	CapacityMilli float64
	FreeMilli     float64 // counted in units large enough for a typical task
	ExpectedWait  time.Duration
	QueuedTasks   int // of the owner's own jobs
	StagedTasks   int // of other owners, waiting for free capacity
}

// Offer offers a job to an owner of backend servers.
type Offer struct {
	Call       CallID
	Job        JobSpec
	Age        time.Duration // time since the caller submitted it
	AllowQueue bool          // if false, the owner declines a job that can't start immediately
	Echo       Time          // as in Heartbeat
}

// Withdraw cancels an offered job or, if Owner is set, the tasks that this owner has
// offloaded of the sender's jobs: the sender has given the owner up. If Job is set, it ends
// the receiver's call with that job if the sender knows of a later submission.
type Withdraw struct {
	Call  CallID
	Owner Member
	Job   string
	Age   time.Duration // of the later submission
}

// Outcome is the response to an Offer.
type Outcome struct {
	Call           CallID
	Result         Result
	Declined       bool   // not accepted; offer it elsewhere
	Attempt        uint32 // last attempt of an offloaded task
	Load           Load
	OffloadedMilli float64 // as in Heartbeat, if Load is set
}

// Resync lists the offers that the sender still waits for. It is sent when a link is
// established.
type Resync struct {
	Calls []CallID
	Reply bool // answers a Resync of the receiver
}

// OwnersUpdate forwards ownerships that the sender has just written, ahead of the
// store's own notification.
type OwnersUpdate struct{ Owners []Ownership }

// ServersUpdate forwards changes in the list of backend servers.
type ServersUpdate struct{ ServerChanges }

// ConfigRequest asks for the operator's configuration when the sender's version is
// older.
type ConfigRequest struct{ HaveVersion uint64 }

// JobsReleased asks the receiver to take over durable jobs that the sender has
// released or found without a holder.
type JobsReleased struct{}

// JobEnded reports the final state of a durable job to the instance that accepted it,
// after that state is stored.
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
