package platform

import (
	"github.com/pkg/errors"
)

// Kind classifies platform errors.
type Kind uint8

// Kinds of errors.
const (
	KindNone        Kind = iota // no error
	KindUnavailable             // the call did not take effect; the service is unreachable
	KindConflict                // another write came first
	KindRateLimited             // the call did not take effect; a rate limit was reached
	KindUnknown                 // a write may or may not have taken effect
	KindNoSession               // the session has expired
	KindInvalid                 // the service rejects the call as invalid
)

type kindText struct {
	name   string
	remedy string
}

var kindTexts = [...]kindText{
	KindNone:        {"none", ""},
	KindUnavailable: {"unavailable", "retry with backoff; check the platform's address and health"},
	KindConflict:    {"conflict", "read the key again and repeat the change on its new value"},
	KindRateLimited: {"rate limited", "retry later; check the rates in the platform settings"},
	KindUnknown:     {"outcome unknown", "read the key back before writing again"},
	KindNoSession:   {"no session", "create a new session"},
	KindInvalid:     {"invalid", "correct the key, the value or the settings of the platform"},
}

// String returns the name of the kind.
func (k Kind) String() string { return kindTexts[k].name }

// Remedy returns advice on how to handle the error.
func (k Kind) Remedy() string { return kindTexts[k].remedy }

// Error is a failed call.
type Error struct {
	Kind  Kind
	Op    Op
	Key   string // key, prefix, session or service name
	Cause error  // may be nil
}

// Error returns the message and its remedy.
func (e *Error) Error() string {
	msg := "platform " + e.Op.String() + " " + e.Key + ": " + e.Kind.String()
	if e.Cause != nil {
		msg += " (" + e.Cause.Error() + ")"
	}
	return msg + "; " + e.Kind.Remedy()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a platform error, KindNone for nil and KindUnknown
// for any other error.
func KindOf(err error) Kind {
	if err == nil {
		return KindNone
	}
	var pe *Error
	if errors.As(err, &pe) {
		return pe.Kind
	}
	return KindUnknown
}
