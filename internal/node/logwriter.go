package node

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// logBufferLines is how many lines are buffered for a slow log reader; beyond
// that the oldest are dropped.
const logBufferLines = 1024

// LogWriter returns a writer that never blocks on w.
func LogWriter(w io.Writer) (io.Writer, func()) {
	d := diode.NewWriter(w, logBufferLines, 0, nil)
	return d, func() {
		// No log is left to report the error.
		_ = d.Close()
	}
}
