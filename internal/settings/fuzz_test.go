package settings

import (
	"errors"
	"testing"
)

// FuzzParse checks that any content yields settings, or Errors that each name a
// remedy.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(`{"tls": {"peer": []}, "operator_tokens": [{}], "a": 1, "a": 2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err == nil {
			if s.Instance == "" {
				t.Fatal("settings without an instance name are accepted")
			}
			return
		}
		var all Errors
		if !errors.As(err, &all) {
			t.Fatalf("got %T", err)
		}
		for _, e := range all {
			if e.Message == "" || e.Remedy == "" {
				t.Fatalf("got %+v", e)
			}
		}
	})
}
