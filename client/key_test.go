package client

import "testing"

func TestRetryKey(t *testing.T) {
	old, err := NewKey()
	if err != nil {
		t.Fatal(err)
	}
	k, err := RetryKey(old)
	if err != nil {
		t.Fatal(err)
	}
	const randomHalf = len("00000000-0000-7000-")
	if k == old || k[randomHalf:] != old[randomHalf:] {
		t.Fatalf("retry key %s of %s", k, old)
	}
	if _, err := RetryKey("x"); err == nil {
		t.Fatal("a key that isn't a UUID was accepted")
	}
}
