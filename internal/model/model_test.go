package model

import (
	"testing"
	"time"

	"github.com/google/uuid"
)

func TestKeySubmitted(t *testing.T) {
	k := Key(uuid.MustParse("0192f0c0-0001-7000-8000-000000000000"))
	want := Time(int64(0x0192f0c00001) * int64(time.Millisecond))
	if got := k.Submitted(); got != want {
		t.Fatalf("Submitted() = %d, want %d", got, want)
	}
}
