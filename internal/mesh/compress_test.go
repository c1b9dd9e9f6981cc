package mesh

import (
	"bytes"
	"fmt"
	"testing"
)

// TestLargeConfigurationIsPacked checks that a configuration of many routes is the
// same after its way to a peer, and takes less than a fifth of its bytes there.
func TestLargeConfigurationIsPacked(t *testing.T) {
	const part = 5 // of its bytes
	var data bytes.Buffer
	for i := range 1700 {
		fmt.Fprintf(&data, `{"name":"r%d","host":"h%d.example","prefix":"/p%d/","timeoutMs":1500,"sloMs":60,"service":"svc"},`, i, i%7, i*31)
	}
	m, err := encode(Config{Data: data.Bytes()})
	if err != nil {
		t.Fatal(err)
	}
	if n := len(m.GetConfig().GetPacked()); n*part > data.Len() {
		t.Errorf("%d bytes of %d", n, data.Len())
	}
	got, err := decode(m)
	if err != nil || !bytes.Equal(got.(Config).Data, data.Bytes()) {
		t.Errorf("decoded: %v", err)
	}
}

func TestMalformedConfigurationIsRefused(t *testing.T) {
	for _, packed := range [][]byte{{}, {1, 2, 3}, bytes.Repeat([]byte{0xff}, 100)} {
		if _, err := unpack(packed); err == nil {
			t.Errorf("%v is unpacked", packed)
		}
	}
}
