package operator

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
)

// Kinds of problems.
const (
	KindUnauthorized = "unauthorized"
	KindForbidden    = "forbidden"
	KindMalformed    = "malformed"
	KindInvalid      = "invalid-edit"
	KindConflict     = "conflict"
	KindNotFound     = "not-found"
	KindTooLarge     = "too-large"
	KindRolledBack   = "platform-rolled-back"
	KindUnavailable  = "platform-unavailable"
	KindUnknown      = "outcome-unknown"
	KindDamaged      = "table-damaged"
)

func newProblem(status int, kind, detail, remedy string) *Problem {
	return &Problem{
		Type:    "urn:nutmegweir:operator:" + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Kind:    kind,
		Applied: AppliedNo,
		Remedy:  remedy,
	}
}

func problemUnauthorized() *Problem {
	return newProblem(http.StatusUnauthorized, KindUnauthorized, "no operator has this token", "send the token of an operator that the settings name")
}

func problemForbidden() *Problem {
	return newProblem(http.StatusForbidden, KindForbidden, "the operator may only read", "use the token of an operator with the role write")
}

func problemMediaType(want string) *Problem {
	return newProblem(http.StatusUnsupportedMediaType, KindMalformed, "the body has another media type", "send the Content-Type "+want)
}

func problemMalformed(detail string) *Problem {
	return newProblem(http.StatusBadRequest, KindMalformed, detail, "correct the request; docs/TABLE.md lists the fields")
}

func problemNotFound(detail string) *Problem {
	return newProblem(http.StatusNotFound, KindNotFound, detail, "look it up in the history")
}

// problemOf maps an error of the table packages to a problem document.
func problemOf(err error) *Problem {
	var (
		invalid    *table.InvalidError
		conflict   *table.ConflictError
		rolledBack *tablestore.RolledBackError
		tooLarge   *tablestore.TooLargeError
		damaged    *tablestore.DamagedError
	)
	switch {
	case errors.As(err, &invalid):
		p := newProblem(http.StatusUnprocessableEntity, KindInvalid, err.Error(), "correct the fields that the faults name")
		p.Faults = invalid.Faults
		return p
	case errors.As(err, &conflict):
		p := newProblem(http.StatusConflict, KindConflict, err.Error(), "read the rows again and repeat the edit on them")
		p.Conflicts = conflict.Rows
		return p
	case errors.As(err, &rolledBack):
		return newProblem(http.StatusConflict, KindRolledBack, err.Error(), "restore the platform's newer data before editing")
	case errors.As(err, &tooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, KindTooLarge, err.Error(), "split the edit or remove rows")
	case errors.As(err, &damaged):
		return newProblem(http.StatusInternalServerError, KindDamaged, err.Error(), "restore the key from a backup of the platform")
	case platform.KindOf(err) == platform.KindUnknown:
		p := newProblem(http.StatusGatewayTimeout, KindUnknown, err.Error(), "send the same request with the same id again; it is not applied twice")
		p.Applied = AppliedUnknown
		return p
	}
	return newProblem(http.StatusServiceUnavailable, KindUnavailable, err.Error(), "retry later; the table in force stays in force")
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", api.ContentTypeProblem)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
