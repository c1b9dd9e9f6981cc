package caller

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// countSubmission counts a valid submission and its answer.
func (h *Handler) countSubmission(kind string, a *peerpb.Answer, err error, d time.Duration) {
	status := statusError
	if err == nil {
		status = statusLabel(a.GetStatus())
	}
	m := h.opts.Metrics
	kind = m.Kinds.Value(kind)
	m.Submissions.WithLabelValues(kind).Inc()
	m.Answers.WithLabelValues(status, kind).Inc()
	m.AnswerDuration.WithLabelValues(status).Observe(d.Seconds())
}

// statusError is the status label of a submission without an answer.
const statusError = "error"

func statusLabel(s peerpb.Status) string {
	switch s {
	case peerpb.Status_STATUS_PENDING:
		return "pending"
	case peerpb.Status_STATUS_COMPLETE:
		return "complete"
	case peerpb.Status_STATUS_FAILED:
		return "failed"
	case peerpb.Status_STATUS_REFUSED:
		return "refused"
	default:
		return statusError
	}
}
