package fleet

// leaving tracks whether a backend server has announced that it leaves. Its reports
// arrive in polls and, later, in the store's list; the latest one counts.
type leaving struct {
	announced bool
	bootMs    int64 // incarnation that made the latest report
	clockMs   int64 // of the latest report, on that incarnation's clock; 0 if unknown
}

// report records a report of the server, and reports whether it begins to leave. An
// earlier report than the latest one is ignored. bootMs and clockMs are 0 if unknown; such
// a report may announce, but doesn't withdraw what one with a known time has announced.
func (l *leaving) report(announced bool, bootMs, clockMs int64) (began bool) {
	if bootMs == 0 {
		bootMs = l.bootMs
	}
	if clockMs == 0 && announced {
		clockMs = l.clockMs
	}
	if bootMs < l.bootMs || bootMs == l.bootMs && clockMs < l.clockMs {
		return false
	}
	began = announced && !l.announced
	*l = leaving{announced, bootMs, clockMs}
	return began
}
