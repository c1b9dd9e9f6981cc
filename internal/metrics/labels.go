package metrics

import "sync"

// Bounds of label values that callers choose.
const (
	MaxLabelValues = 200
	OtherLabel     = "other"
)

// LabelLimit bounds the number of values of a label that callers choose, for
// each value costs memory for as long as the process lives. It may be used by
// several goroutines.
type LabelLimit struct {
	mu     sync.RWMutex
	values map[string]struct{}
}

// Value returns s while there are few values, else OtherLabel.
func (l *LabelLimit) Value(s string) string {
	l.mu.RLock()
	_, known := l.values[s]
	l.mu.RUnlock()
	if known {
		return s
	}
	return l.add(s)
}

func (l *LabelLimit) add(s string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values == nil {
		l.values = make(map[string]struct{})
	}
	if _, known := l.values[s]; !known && len(l.values) >= MaxLabelValues {
		return OtherLabel
	}
	l.values[s] = struct{}{}
	return s
}
