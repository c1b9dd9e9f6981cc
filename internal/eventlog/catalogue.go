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
	InstanceStarted    = info(1001, "instance-started", "the instance has started")
	InstanceReady      = info(1002, "instance-ready", "the instance takes requests")
	InstanceStopping   = info(1003, "instance-stopping", "the instance has stopped taking requests and finishes those in flight")
	InstanceStopped    = info(1004, "instance-stopped", "the instance has finished its work and exits")
	InstanceStopForced = warn(1005, "instance-stop-forced", "the bound of the graceful stop has passed with work in flight")
	PauseDetected      = warn(1007, "pause-detected", "the process was paused; admission waits until views are confirmed")
	TransportPlain     = warn(1009, "transport-plain", "a port goes without TLS, as the settings say")
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
	PeerLinked = info(3001, "peer-linked", "a link to another instance is up")
	PeerLost   = warn(3002, "peer-lost", "a link to another instance is down")
	PeerSilent = warn(3004, "peer-silent", "another instance does not answer a fresh connection")
)

// Events of shards and their views.
var (
	ViewChanged      = info(4001, "view-changed", "the view of a shard has changed")
	ShardTakenOver   = warn(4003, "shard-taken-over", "this instance has taken a shard over with its records")
	FloorRaised      = warn(4004, "floor-raised", "the records of a shard are lost or dropped; older keys are answered as may have run")
	AdmissionResumed = info(4013, "admission-resumed", "a shard admits again")
)

// Events of scheduling and backend servers.
var (
	ServerAdded       = info(5001, "server-added", "a backend server has come into service")
	ServerLeaving     = info(5002, "server-leaving", "a backend server is leaving and gets no new work")
	ServerGone        = info(5003, "server-gone", "a backend server is gone")
	ServerQuarantined = warn(5004, "server-quarantined", "a backend server gets no work because its tasks fail")
	ServerRestored    = info(5005, "server-restored", "a backend server gets work again")
	StartLost         = warn(5007, "start-lost", "the connection broke after a start was sent; the task may have run")
)

// Events of the platform.
var (
	PlatformLost = warn(6001, "platform-lost", "the platform does not answer; views and table stand as they are")
	PlatformBack = info(6002, "platform-back", "the platform answers again")
)

// Events of the table and the operator port.
var (
	TableApplied = info(7001, "table-applied", "a new version of the table is in force on this instance")
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
