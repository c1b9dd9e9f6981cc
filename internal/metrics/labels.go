package metrics

import "sync"

// Limits of label values chosen by callers.
const (
	MaxLabelValues = 200
	OtherLabel     = "other"
)

// LabelLimit bounds the number of values of a label chosen by callers, because
// each value takes memory until the process ends. It is safe for concurrent use.
type LabelLimit struct {
	mu     sync.RWMutex
	values map[string]struct{}
}

// Value returns s if it is known or the limit isn't reached, else OtherLabel.
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
