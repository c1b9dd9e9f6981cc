package mesh

import (
	"bytes"
	"net"
	"testing"
)

// recorder is a connection that records its writes.
type recorder struct {
	net.Conn
	writes [][]byte
}

func (r *recorder) Write(p []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

func TestHeadersAreCoalescedWithBodies(t *testing.T) {
	data := func(n byte) []byte { return []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, n} }
	update := []byte{0, 1, 0, 0, 0, 0, 0, 1, 0, 0, 0, 9}
	cases := []struct {
		name   string
		writes [][]byte
		want   int // writes to the connection
	}{
		{"a frame", [][]byte{data(3), []byte("abc")}, 1},
		{"two frames", [][]byte{data(3), []byte("abc"), data(2), []byte("de")}, 2},
		{"an empty frame", [][]byte{data(0)}, 1},
		{"a window update", [][]byte{update}, 1},
		{"a window update between frames", [][]byte{data(1), []byte("a"), update, data(1), []byte("b")}, 3},
		{"a body as long as a header", [][]byte{data(12), data(4), data(1), []byte("x")}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r recorder
			conn := newCoalescingConn(&r)
			for _, p := range c.writes {
				if n, err := conn.Write(p); n != len(p) || err != nil {
					t.Fatal(n, err)
				}
			}
			if got, want := bytes.Join(r.writes, nil), bytes.Join(c.writes, nil); !bytes.Equal(got, want) {
				t.Errorf("sent %v, want %v", got, want)
			}
			if len(r.writes) != c.want {
				t.Errorf("%d writes, want %d", len(r.writes), c.want)
			}
		})
	}
}
