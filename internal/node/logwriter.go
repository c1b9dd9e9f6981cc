package node

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// logBuffer is how many lines may wait for a slow reader of the log; beyond
// that the oldest are lost.
const logBuffer = 1024

// LogWriter returns a writer that never blocks on w.
func LogWriter(w io.Writer) (io.Writer, func()) {
	d := diode.NewWriter(w, logBuffer, 0, nil)
	return d, func() {
		// Nobody is left to be told of a failure.
		_ = d.Close()
	}
}
