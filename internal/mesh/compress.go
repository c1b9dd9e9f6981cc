package mesh

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxConfigBytes bounds an unpacked configuration. The platform's store holds
// values of a megabyte.
const maxConfigBytes = 4 << 20

// pack compresses a configuration, whose routes are much alike: whole, a large one
// takes longer on a slow link than a message may.
func pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack a configuration")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "pack a configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack a configuration")
	}
	return b.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack a configuration; run the same version on all instances")
	}
	if len(data) > maxConfigBytes {
		return nil, errors.Errorf("a configuration exceeds %d bytes", maxConfigBytes)
	}
	return data, nil
}
