package eventlog

import "github.com/rs/zerolog"

// Event is one kind of log event.
type Event struct {
	Number int
	Level  zerolog.Level
	Name   string
	Text   string
}

// Events of the instance as a whole.
var (
	InstanceStarted     = info(1001, "instance-started", "the instance has started")
	InstanceReady       = info(1002, "instance-ready", "the instance takes requests")
	InstanceStopping    = info(1003, "instance-stopping", "the instance has stopped taking requests and finishes those in flight")
	InstanceStopped     = info(1004, "instance-stopped", "the instance has finished its work and exits")
	InstanceStopForced  = warn(1005, "instance-stop-forced", "the bound of the graceful stop has passed with work in flight")
	InstanceFailed      = fail(1006, "instance-failed", "the instance can't go on")
	PauseDetected       = warn(1007, "pause-detected", "the process was paused; admission waits until views are confirmed")
	PortOpened          = info(1008, "port-opened", "a port listens")
	TransportPlain      = warn(1009, "transport-plain", "a port goes without TLS, as the settings say")
	GoroutineFailed     = fail(1010, "goroutine-failed", "a goroutine has panicked; the instance stops")
	ConfigurationLoaded = info(1011, "configuration-loaded", "the settings were read and checked")
)

// Events of the caller port.
var (
	SubmissionRefused = debug(2001, "submission-refused", "a submission was refused")
	SubmissionFailed  = debug(2002, "submission-failed", "a job was answered failed")
	AnswerUnknown     = warn(2003, "answer-unknown", "a caller was told that the work may have run")
	HandlerFailed     = fail(2004, "handler-failed", "a request handler has panicked; its caller was told that the work may have run")
	CallerPortFault   = warn(2005, "caller-port-fault", "the HTTP server of the caller port reports a fault")
	JobCancelled      = debug(2006, "job-cancelled", "a job was cancelled")
)

// Events of links between instances.
var (
	PeerLinked       = info(3001, "peer-linked", "a link to another instance is up")
	PeerLost         = warn(3002, "peer-lost", "a link to another instance is down")
	PeerRefused      = warn(3003, "peer-refused", "a connection from another instance was refused")
	PeerSilent       = warn(3004, "peer-silent", "another instance does not answer a fresh connection")
	PeerDead         = info(3005, "peer-dead", "the process of another instance is gone")
	PeerQueueFull    = warn(3006, "peer-queue-full", "messages to another instance were dropped because its queue is full")
	PeerVersion      = fail(3007, "peer-version", "another instance speaks no common protocol version")
	PeerFrameInvalid = warn(3008, "peer-frame-invalid", "a frame from another instance could not be decoded; the link is closed")
)

// Events of shards and their views.
var (
	ViewChanged        = info(4001, "view-changed", "the view of a shard has changed")
	ViewConflict       = info(4002, "view-conflict", "another instance has changed the view first")
	ShardTakenOver     = warn(4003, "shard-taken-over", "this instance has taken a shard over with its records")
	FloorRaised        = warn(4004, "floor-raised", "the records of a shard are lost or dropped; older keys are answered as may have run")
	ShardHandedOver    = info(4005, "shard-handed-over", "this instance has handed a shard over as planned")
	ReplicaRemoved     = warn(4006, "replica-removed", "a replica was removed from the view of a shard")
	ReplicaJoined      = info(4007, "replica-joined", "a replica has caught up and joined the view of a shard")
	OperationRefused   = info(4008, "operation-refused", "a replica has refused operations of an older epoch")
	SnapshotFailed     = warn(4009, "snapshot-failed", "fetching the records of a shard has failed; it is tried again")
	RecordsOverBound   = warn(4010, "records-over-bound", "job records exceed their memory bound; the floor is raised early")
	CommitBlocked      = warn(4011, "commit-blocked", "a silent replica blocks a shard until the platform confirms a view without it")
	AdmissionSuspended = warn(4012, "admission-suspended", "a shard admits nothing until its view is confirmed")
	AdmissionResumed   = info(4013, "admission-resumed", "a shard admits again")
)

// Events of scheduling and backend servers.
var (
	ServerAdded       = info(5001, "server-added", "a backend server has come into service")
	ServerLeaving     = info(5002, "server-leaving", "a backend server is leaving and gets no new work")
	ServerGone        = info(5003, "server-gone", "a backend server is gone")
	ServerQuarantined = warn(5004, "server-quarantined", "a backend server gets no work because its tasks fail")
	ServerRestored    = info(5005, "server-restored", "a backend server gets work again")
	ConnectionSilent  = warn(5006, "connection-silent", "a connection to a backend server went silent and was replaced")
	StartLost         = warn(5007, "start-lost", "the connection broke after a start was sent; the task may have run")
	ContractViolated  = warn(5008, "contract-violated", "a backend server broke its contract")
	OverloadBegan     = warn(5009, "overload-began", "work is shed or refused because the queues are full")
	OverloadEnded     = info(5010, "overload-ended", "no work is shed any more")
)

// Events of the platform.
var (
	PlatformLost         = warn(6001, "platform-lost", "the platform does not answer; views and table stand as they are")
	PlatformBack         = info(6002, "platform-back", "the platform answers again")
	PlatformWriteUnknown = warn(6003, "platform-write-unknown", "the answer of a write was lost; its effect is read back")
	PlatformRateLimited  = warn(6004, "platform-rate-limited", "calls to the platform wait for this instance's rate limit")
	PlatformValueInvalid = fail(6005, "platform-value-invalid", "a value in the platform can't be read; the last good one stands")
	SessionLost          = warn(6006, "session-lost", "the platform session of this instance has ended")
)

// Events of the table and the operator port.
var (
	TableApplied       = info(7001, "table-applied", "a new version of the table is in force on this instance")
	TableInvalid       = fail(7002, "table-invalid", "a version of the table is not valid; the last good one stands")
	EditAccepted       = info(7003, "edit-accepted", "an operator's edit was accepted")
	EditRefused        = info(7004, "edit-refused", "an operator's edit was refused")
	EditConflict       = info(7005, "edit-conflict", "another operator has changed the same row first")
	OperatorRefused    = warn(7006, "operator-refused", "a request to the operator port carried no valid token")
	OperatorPortFault  = warn(7007, "operator-port-fault", "the HTTP server of the operator port reports a fault")
	TableReceivedStale = debug(7008, "table-received-stale", "an older version of the table was received and ignored")
)

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

var catalogue []Event

func info(number int, name, text string) Event {
	return register(number, zerolog.InfoLevel, name, text)
}

func warn(number int, name, text string) Event {
	return register(number, zerolog.WarnLevel, name, text)
}

func fail(number int, name, text string) Event {
	return register(number, zerolog.ErrorLevel, name, text)
}

func debug(number int, name, text string) Event {
	return register(number, zerolog.DebugLevel, name, text)
}

func register(number int, level zerolog.Level, name, text string) Event {
	e := Event{Number: number, Level: level, Name: name, Text: text}
	catalogue = append(catalogue, e)
	return e
}
