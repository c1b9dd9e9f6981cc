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
	InstanceStarted    = info(1001, "instance-started", "instance started")
	InstanceReady      = info(1002, "instance-ready", "instance ready; accepting requests")
	InstanceStopping   = info(1003, "instance-stopping", "instance stopping; accepting no more requests, finishing those in flight")
	InstanceStopped    = info(1004, "instance-stopped", "instance finished its work and is exiting")
	InstanceStopForced = warn(1005, "instance-stop-forced", "graceful stop timed out with work in flight")
	PauseDetected      = warn(1007, "pause-detected", "process pause detected; admission suspended until views are confirmed")
	TransportPlain     = warn(1009, "transport-plain", "port runs without TLS, as configured")
)

// Events of the caller port.
var (
	SubmissionRefused = debug(2001, "submission-refused", "submission rejected")
	SubmissionFailed  = debug(2002, "submission-failed", "job failed; its caller was told")
	AnswerUnknown     = warn(2003, "answer-unknown", "caller was told that the work may have run")
	HandlerFailed     = fail(2004, "handler-failed", "request handler panicked; its caller was told that the work may have run")
	CallerPortFault   = warn(2005, "caller-port-fault", "HTTP server of the caller port reported an error")
	JobCancelled      = debug(2006, "job-cancelled", "job cancelled")
)

// Events of links between instances.
var (
	PeerLinked    = info(3001, "peer-linked", "link to another instance is up")
	PeerLost      = warn(3002, "peer-lost", "link to another instance is down")
	PeerSilent    = warn(3004, "peer-silent", "another instance did not answer a new connection in time")
	PeerPortFault = warn(3005, "peer-port-fault", "connections to the peer port can't be accepted; this is tried again")
)

// Events of shards and their views.
var (
	ViewChanged      = info(4001, "view-changed", "view of a shard changed")
	ShardTakenOver   = warn(4003, "shard-taken-over", "this instance took over a shard with its records")
	FloorRaised      = warn(4004, "floor-raised", "records of a shard are lost or dropped; callers with older keys are told that the work may have run")
	AdmissionResumed = info(4013, "admission-resumed", "shard admits again")
)

// Events of scheduling and backend servers.
var (
	ServerAdded       = info(5001, "server-added", "backend server came into service")
	ServerLeaving     = info(5002, "server-leaving", "backend server is leaving and gets no new work")
	ServerGone        = info(5003, "server-gone", "backend server is no longer listed")
	ServerQuarantined = warn(5004, "server-quarantined", "backend server quarantined because its tasks fail")
	ServerRestored    = info(5005, "server-restored", "backend server released from quarantine")
	StartLost         = warn(5007, "start-lost", "connection broke after a start was sent; the task may have run")
)

// Events of the platform.
var (
	PlatformLost = warn(6001, "platform-lost", "platform does not answer; views and table stay as they are")
	PlatformBack = info(6002, "platform-back", "platform answers again")
)

// Events of the table and the operator port.
var (
	TableApplied = info(7001, "table-applied", "new table version in force on this instance")
)

// Events of an instance on the users' platform.
var (
	MemberLive        = info(8001, "member-live", "incarnation of another instance discovered")
	MemberDead        = warn(8002, "member-dead", "incarnation of another instance has ended; its backend servers may be claimed")
	ServerOwned       = info(8003, "server-owned", "this instance now owns a backend server")
	ServerReleased    = info(8004, "server-released", "this instance released an idle backend server")
	ServerFenced      = warn(8005, "server-fenced", "another instance owns a backend server; its fencing token is higher")
	ServerSilent      = warn(8006, "server-silent", "backend server does not answer; its leases are left to expire")
	ServerBack        = info(8007, "server-back", "backend server answers again")
	ServerReborn      = warn(8008, "server-reborn", "backend server restarted; its runs are gone")
	ForeignRun        = info(8009, "foreign-run", "run unknown to this instance is stopped")
	RunUnanswered     = warn(8010, "run-unanswered", "reply to a start command is overdue; the server is polled, and the run is stopped unless it is listed")
	RunLost           = warn(8011, "run-lost", "run is over without a listed end; its task starts again")
	RunFailed         = info(8012, "run-failed", "run failed")
	RunOverdue        = warn(8013, "run-overdue", "run stalled and is stopped; its task starts elsewhere")
	JobRouted         = info(8014, "job-routed", "job offered to an owner of backend servers")
	JobBounced        = info(8015, "job-bounced", "owner declined a job; it is offered elsewhere")
	JobQueued         = info(8016, "job-queued", "job queued or rejected because of earlier work")
	JobAnswered       = info(8017, "job-answered", "final answer to a job sent to its caller")
	RequestRefused    = info(8018, "request-refused", "request rejected before it became a job")
	CallFailed        = warn(8019, "call-failed", "call to the store or a backend server got no usable answer")
	ConfigInForce     = info(8020, "config-in-force", "configuration version in force")
	ConfigRejected    = warn(8021, "config-rejected", "configuration could not be read; the last version stays in force")
	RecordUnreadable  = warn(8022, "record-unreadable", "store entry could not be read and is skipped")
	LinesDropped      = warn(8023, "lines-dropped", "log lines dropped by the rate limit")
	SettingsReloaded  = info(8024, "settings-reloaded", "settings file reloaded")
	SettingsUnchanged = warn(8025, "settings-unchanged", "settings file could not be reloaded; the old settings stay in effect")
	JobEnded          = info(8026, "job-ended", "owner of backend servers finished a job")
	JobTakenBack      = warn(8027, "job-taken-back", "owner of a job is gone or unresponsive; the job is offered again once its runs are gone")
	JobAdopted        = info(8028, "job-adopted", "durable job without a live holder taken over")
	JobLost           = warn(8029, "job-lost", "store names another holder of a durable job; this instance drops it")
	HoldDoubted       = warn(8030, "hold-doubted", "another instance may take over this instance's durable jobs, or no longer may")
	StoreFollowed     = info(8031, "store-followed", "this instance started or stopped watching servers and configuration in the store for its cell")
	WatchBehind       = warn(8032, "watch-behind", "watch of the store trails it by more than another reply")
	ServerListGap     = info(8033, "server-list-gap", "changes don't continue this instance's list of backend servers; the whole list is read")
	ServerListRead    = info(8034, "server-list-read", "this instance read the whole list of backend servers")
	RunStarted        = info(8035, "run-started", "start of a task that was started before, or whose job was submitted before")
	RunEnded          = info(8036, "run-ended", "run stopped or expired, or gone after its job had ended")
	TaskDelayed       = info(8037, "task-delayed", "tasks wait until runs that may exist have certainly ended")
	StartUnrecorded   = warn(8038, "start-unrecorded", "store has not recorded this start in time; others may take this incarnation for outdated if the clock was set back")
	TaskSuspected     = warn(8040, "task-suspected", "backend server was lost under a task; from now on the task runs alone")
	CrashConfirmed    = warn(8041, "crash-confirmed", "backend server that was lost under a task has crashed")
	TaskGivenUp       = warn(8042, "task-given-up", "task crashes its backend servers; its job ends as failed")
	JobDeferred       = info(8043, "job-deferred", "job waits at the instance with its call until it may be offered to an owner")
	DomainEvacuated   = info(8044, "domain-evacuated", "operator evacuates a failure domain; nothing starts on its backend servers")
	DomainRestored    = info(8045, "domain-restored", "evacuation of a failure domain has ended")
	ConnectionClosed  = info(8046, "connection-closed", "connection of a client closed at the limit of connections")
	RequestShed       = info(8047, "request-shed", "request given up while it was read, as memory was short or its body too slow")
	PlaceWait         = info(8048, "place-wait", "tasks wait for a place near their data, go to the owner of that rack, or start elsewhere")
	ServiceResumed    = info(8049, "service-resumed", "times at which this start of the instance reached each phase")
	OffloadDropped    = info(8050, "offload-dropped", "task that another owner offloaded here ended without success; its run is stopped")
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
