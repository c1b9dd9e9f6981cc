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

// AppliedVersion is the time when a version of the table came into force at one
// instance.
type AppliedVersion struct {
	At      time.Time
	Version uint64
}

// SentEdit is the time when an edit was sent to an instance, and the version that
// it created.
type SentEdit struct {
	At      time.Time
	Version uint64
}

// InForceResult is the delay from the edits until they were in force at every
// instance.
type InForceResult struct {
	Load      string  `json:"load"` // name of the load
	Instances int     `json:"instances"`
	Edits     int     `json:"edits"`
	Missing   int     `json:"missing"` // not in force at every instance when the logs were read
	MedianMs  float64 `json:"median_ms"`
	LongestMs float64 `json:"longest_ms"`
}

// logLine has the fields of a log event that ReadApplied needs.
type logLine struct {
	Time    time.Time `json:"time"`
	Event   int       `json:"event"`
	Version uint64    `json:"version"`
}

// ReadApplied returns the times when versions of the table came into force, from
// the log of one instance at level info, in the order of the log. Lines that are
// not events are skipped.
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

// InForceDelay computes the delays of one load from the edits and the logs of all
// instances.
func InForceDelay(load string, edits []SentEdit, logs [][]AppliedVersion) InForceResult {
	f := InForceResult{Load: load, Instances: len(logs), Edits: len(edits)}
	var delaysMs []float64
	for _, e := range edits {
		at, everywhere := inForceEverywhere(e.Version, logs)
		if !everywhere {
			f.Missing++
			continue
		}
		delaysMs = append(delaysMs, float64(at.Sub(e.At).Microseconds())/1000)
	}
	if len(delaysMs) == 0 {
		return f
	}
	slices.Sort(delaysMs)
	f.MedianMs = delaysMs[len(delaysMs)/2]
	f.LongestMs = delaysMs[len(delaysMs)-1]
	return f
}

// inForceEverywhere returns when the last instance reached the version or a later
// one, and whether all instances did.
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
