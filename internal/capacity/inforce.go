package capacity

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
)

// AppliedVersion is the moment when a version of the table came in force at one
// instance.
type AppliedVersion struct {
	At      time.Time
	Version uint64
}

// SentEdit is the moment when an edit was sent to an instance, and the version
// that it made.
type SentEdit struct {
	At      time.Time
	Version uint64
}

// InForceResult says how long edits took until they were in force at every
// instance, in milliseconds.
type InForceResult struct {
	Load      string  `json:"load"` // how the edits came
	Instances int     `json:"instances"`
	Edits     int     `json:"edits"`
	Missing   int     `json:"missing"` // not in force at every instance when the logs were read
	MedianMs  float64 `json:"median_ms"`
	LongestMs float64 `json:"longest_ms"`
}

// logLine holds the fields of a log event that ReadApplied needs.
type logLine struct {
	Time    time.Time `json:"time"`
	Event   int       `json:"event"`
	Version uint64    `json:"version"`
}

// ReadApplied returns when versions of the table came in force, from the log
// of one instance at level info, in the order of the log. Lines that are not
// events are skipped.
func ReadApplied(log io.Reader) ([]AppliedVersion, error) {
	var list []AppliedVersion
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			continue
		}
		if l.Event == eventlog.TableApplied.Number {
			list = append(list, AppliedVersion{At: l.Time, Version: l.Version})
		}
	}
	return list, errors.Wrap(lines.Err(), "read the log; give the log file of an entry instance")
}

// InForceDelay works out the figure of one load from the edits and the logs of all
// instances.
func InForceDelay(load string, edits []SentEdit, logs [][]AppliedVersion) InForceResult {
	f := InForceResult{Load: load, Instances: len(logs), Edits: len(edits)}
	var took []float64
	for _, e := range edits {
		at, whole := inForceEverywhere(e.Version, logs)
		if !whole {
			f.Missing++
			continue
		}
		took = append(took, float64(at.Sub(e.At).Microseconds())/1000)
	}
	if len(took) == 0 {
		return f
	}
	slices.Sort(took)
	f.MedianMs = took[len(took)/2]
	f.LongestMs = took[len(took)-1]
	return f
}

// inForceEverywhere returns when the last instance had the version or a later
// one, and whether all have it.
func inForceEverywhere(version uint64, logs [][]AppliedVersion) (time.Time, bool) {
	var last time.Time
	for _, log := range logs {
		i := slices.IndexFunc(log, func(a AppliedVersion) bool { return a.Version >= version })
		if i < 0 {
			return last, false
		}
		if log[i].At.After(last) {
			last = log[i].At
		}
	}
	return last, true
}
