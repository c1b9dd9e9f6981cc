// Package backendapi is the HTTP contract between entry instances and backend
// servers.
//
// A task is started by POST to PathTasks with the payload as body. Status 200
// is a success whose body is the output. Status 503 with HeaderStarted set to
// "no" means that the task was not started and never will be by this request.
// Every other status means that the task ran and failed. GET of PathHealth
// returns a Health document. With the query parameter ParamTask the document
// says whether that task is running; entry instances use this, over a new
// connection, to probe starts that have long been unanswered. Without it they
// probe whether a server whose tasks failed is healthy: status 200 and not
// leaving.
package backendapi

// Paths of a backend server.
const (
	PathTasks  = "/v1/tasks"
	PathHealth = "/healthz"
)

// Headers of a task request and its answer.
const (
	// HeaderTask carries the task identity: home/customer/key/index.
	HeaderTask = "Nutmegweir-Task"
	// HeaderAttempt carries the attempt number, from 1.
	HeaderAttempt = "Nutmegweir-Attempt"
	// HeaderDeadline carries the deadline in milliseconds since the Unix epoch.
	HeaderDeadline = "Nutmegweir-Deadline"
	// HeaderKind carries the kind of the request.
	HeaderKind = "Nutmegweir-Kind"
	// HeaderStarted is "no" on a rejection before the start.
	HeaderStarted = "Nutmegweir-Started"
	// HeaderLeaving is "true" on every answer of a server that is leaving.
	HeaderLeaving = "Nutmegweir-Leaving"
)

// MaxConnections is the maximum number of connections a backend server accepts
// from all entry instances together.
const MaxConnections = 64

// Health is the body of an answer to PathHealth.
type Health struct {
	Slots   int  `json:"slots"`
	Busy    int  `json:"busy"`
	Leaving bool `json:"leaving"`
	// Running says whether the task of the query parameter "task" occupies a
	// slot. It is absent if no task was named.
	Running *bool `json:"running,omitempty"`
}

// ParamTask is the query parameter of PathHealth that names a task identity.
const ParamTask = "task"
