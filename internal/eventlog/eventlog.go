// Package eventlog writes numbered log events as JSON lines.
//
// Every event has a number that never changes meaning. docs/EVENTS.md lists
// them for operators.
package eventlog

import (
	"io"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Names of the fields that an event carries.
const (
	FieldEvent       = "event" // number
	FieldName        = "name"
	FieldInstance    = "instance"
	FieldDomain      = "domain"
	FieldIncarnation = "incarnation"
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger zerolog.Logger
}

// New returns a log that writes events of at least the given level to w. The
// level is one of debug, info, warn and error.
func New(w io.Writer, level string) (*Log, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level; use debug, info, warn or error")
	}
	return &Log{logger: zerolog.New(w).Level(l).With().Timestamp().Logger()}, nil
}

// Discard returns a log that writes nothing.
func Discard() *Log { return &Log{logger: zerolog.Nop()} }

// ForInstance returns a log whose events name the instance.
func (l *Log) ForInstance(i model.Instance, d model.Domain, inc model.Incarnation) *Log {
	ctx := l.logger.With().
		Str(FieldInstance, string(i)).
		Str(FieldDomain, string(d)).
		Str(FieldIncarnation, string(inc))
	return &Log{logger: ctx.Logger()}
}

// Event starts an event. The caller adds fields and calls Send.
func (l *Log) Event(e Event) *zerolog.Event { return l.Begin(e).Str(zerolog.MessageFieldName, e.Text) }

// Begin starts an event without its text. The caller adds fields and passes the text to Msg,
// so that a line that is cut keeps its fields.
func (l *Log) Begin(e Event) *zerolog.Event {
	return l.logger.WithLevel(e.Level).
		Int(FieldEvent, e.Number).
		Str(FieldName, e.Name)
}
