package entry

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestOpenReportsAllSettingsErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.hujson")
	text := `{"instance": "", "domain": "seeb", "domains": ["muttrah"], "listen": {"caller": "localhost:1"}}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Open(file, &bytes.Buffer{})
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, field := range []string{"instance", "domains", "listen.caller", "platform.addr", "tls.peer"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("%s is not named in: %v", field, err)
		}
	}
}

// An operator port without tokens would make everyone an operator.
func TestOpenRequiresOperatorTokens(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.hujson")
	text := `{
	"instance": "a", "domain": "seeb", "domains": ["seeb"],
	"listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "0.0.0.0:0"},
	"platform": {"addr": "127.0.0.1:1"},
	"tls": {"caller": {"plain": true}, "peer": {"plain": true}, "operator": {"plain": true}},
}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	i, err := Open(file, &bytes.Buffer{})
	if err == nil {
		i.Close()
		t.Fatal("an open operator port without tokens was accepted")
	}
}
