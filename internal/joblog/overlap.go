package joblog

import "time"

// Overlap is a pair of runs of one task that may have been active at the same time.
type Overlap struct {
	Earlier, Later Run
	Kind           OverlapKind
	// Gap is the time from the end of the earlier run, or from when it was found running,
	// to the start of the later one; negative if that came first; 0 if no end is known.
	Gap time.Duration
}

// OverlapKind tells why a pair may overlap.
type OverlapKind string

// Kinds of overlaps.
const (
	OverlapSeen      OverlapKind = "seen"       // the earlier one was found running after the later one was sent
	OverlapBeforeEnd OverlapKind = "before-end" // the later one was sent before the end of the earlier one was known
	OverlapNoEnd     OverlapKind = "no-end"     // no line tells that the earlier one has ended
	OverlapInferred  OverlapKind = "inferred"   // the later one was sent after an end that nobody has listed
)

// Overlaps returns the pairs of runs of one task that may overlap. runs is in the order
// of Runs.
func Overlaps(runs []Run) []Overlap {
	var out []Overlap
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.Step != b.Step || a.Task != b.Task {
				break
			}
			if o, ok := overlap(a, b); ok {
				out = append(out, o)
			}
		}
	}
	return out
}

func overlap(a, b Run) (Overlap, bool) {
	if a.hadNoEffect() || b.hadNoEffect() || a.listedBefore(b.StartAt()) || a.isChoiceOf(&b) || b.isChoiceOf(&a) {
		return Overlap{}, false
	}
	o := Overlap{Earlier: a, Later: b, Kind: OverlapNoEnd}
	if a.SeenAt.After(b.StartAt()) {
		o.Kind, o.Gap = OverlapSeen, b.StartAt().Sub(a.SeenAt)
		return o, true
	}
	if a.EndAt().IsZero() {
		return o, true
	}
	switch o.Gap = b.StartAt().Sub(a.EndAt()); {
	case o.Gap < 0:
		o.Kind = OverlapBeforeEnd
	case !a.endIsReported():
		o.Kind = OverlapInferred
	default:
		return Overlap{}, false
	}
	return o, true
}
