package mesh

import (
	"bytes"
	"fmt"
	"testing"
)

// TestLargeConfigurationIsCompressed checks that a configuration of many routes
// survives a round trip and takes at most a fifth of its size on the wire.
func TestLargeConfigurationIsCompressed(t *testing.T) {
	const minRatio = 5 // of compression
	var data bytes.Buffer
	for i := range 1700 {
		fmt.Fprintf(&data, `{"name":"r%d","host":"h%d.example","prefix":"/p%d/","timeoutMs":1500,"sloMs":60,"service":"svc"},`, i, i%7, i*31)
	}
	m, err := encode(Config{Data: data.Bytes()})
	if err != nil {
		t.Fatal(err)
	}
	if n := len(m.GetConfig().GetPacked()); n*minRatio > data.Len() {
		t.Errorf("%d bytes of %d", n, data.Len())
	}
	got, err := decode(m)
	if err != nil || !bytes.Equal(got.(Config).Data, data.Bytes()) {
		t.Errorf("decoded: %v", err)
	}
}

func TestMalformedConfigurationIsRejected(t *testing.T) {
	for _, packed := range [][]byte{{}, {1, 2, 3}, bytes.Repeat([]byte{0xff}, 100)} {
		if _, err := decompress(packed); err == nil {
			t.Errorf("%v was accepted", packed)
		}
	}
}
