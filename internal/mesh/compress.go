package mesh

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxConfigBytes bounds a decompressed configuration. Values in the platform's
// store are limited to 1 MB.
const maxConfigBytes = 4 << 20

// compress compresses a configuration, whose routes are repetitive. Uncompressed,
// a large one would exceed the write timeout on a slow link.
func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress a configuration")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress a configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a configuration")
	}
	return b.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a configuration; run the same version on all instances")
	}
	if len(data) > maxConfigBytes {
		return nil, errors.Errorf("a decompressed configuration exceeds %d bytes", maxConfigBytes)
	}
	return data, nil
}
