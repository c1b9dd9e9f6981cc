package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"testing"
)

const minimalSettings = `{
  // all required fields
  "instance": "tayside-1",
  "domain": "tayside",
  "domains": ["tayside", "carrick"],
  "listen": {"caller": "10.0.0.1:7400", "peer": "10.0.0.1:7401", "operator": "10.0.0.1:7402"},
  "platform": {"addr": "10.0.0.9:8500"},
  "tls": {"caller": {"plain": true}, "peer": {"plain": true}, "operator": {"plain": true}},
}`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("m.hujson", []byte(minimalSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Shards != Default().Shards || s.Limits != Default().Limits || s.BackendService != DefaultBackendService {
		t.Errorf("defaults are not filled in: %+v", s)
	}
	if s.Domains[1] != "carrick" || s.AdvertisedPeer() != "10.0.0.1:7401" {
		t.Errorf("values are not read: %+v", s)
	}
}

func TestParseReportsError(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"syntax", `"instance": `, `"instance" `, "f:3: "},
		{"unknown field", `"addr":`, `"adress":`, "f:7: platform.adress: unknown field; use one of: addr, reads_per_second"},
		{"repeated field", `"domain": "tayside",`, "\"domain\": \"tayside\",\n\"domain\": \"carrick\",", "f:5: domain: is given twice"},
		{"wrong type", `"tayside-1"`, `7`, "f:3: instance: 7 is not a string; write a string"},
		{"null", `"tayside-1"`, `null`, "f:3: instance: is not a string"},
		{"fraction", `"addr":`, `"timeout_ms": 1.5, "addr":`, "f:7: platform.timeout_ms: 1.5 is not a whole number"},
		{"not an object", `{"addr": "10.0.0.9:8500"}`, `[]`, "f:7: platform: is not an object"},
		{"host name", `10.0.0.9:8500`, `platform:8500`, `f:7: platform.addr: "platform:8500" is not IP:port`},
		{"unreachable platform", `10.0.0.9:8500`, `0.0.0.0:8500`, "f:7: platform.addr: \"0.0.0.0:8500\" can't be connected to"},
		{"unlisted domain", `"domain": "tayside"`, `"domain": "seeb"`, `f:4: domain: "seeb" is not in domains`},
		{"domain twice", `"carrick"`, `"tayside"`, `f:5: domains[1]: "tayside" is given twice`},
		{"shared port", `10.0.0.1:7402`, `10.0.0.1:7401`, "f:6: listen.operator: port 7401 is also used by listen.peer"},
		{"no advertised address", `"peer": "10.0.0.1:7401"`, `"peer": "0.0.0.0:7401"`, "f: peers.advertise: is missing while"},
		{"TLS left out", `"caller": {"plain": true}`, `"caller": {}`, "f:8: tls.caller: is missing; name cert and key"},
		{"peer TLS without CA", `"peer": {"plain": true}`, `"peer": {"cert": "c", "key": "k"}`, "f:8: tls.peer.ca: is missing"},
		{"plain with files", `"peer": {"plain": true}`, `"peer": {"plain": true, "ca": "c"}`, "f:8: tls.peer: plain is true but files are named"},
		{"plaintext token", `"domains":`, `"operator_tokens": [{"name": "a", "role": "write", "token_sha256": "secret"}], "domains":`, "f:5: operator_tokens[0].token_sha256: is not a SHA-256 digest"},
		{"bad role", `"domains":`, `"operator_tokens": [{"name": "a", "role": "root"}], "domains":`, `operator_tokens[0].role: "root" is not a role`},
		{"out of bounds", `"domains":`, `"shards": {"replicas": 9}, "domains":`, "f:5: shards.replicas: 9 is out of bounds; write a number from 0 to 1"},
		{"body above the API's limit", `"domains":`, `"limits": {"body_bytes": 99999999}, "domains":`, "f:5: limits.body_bytes: 99999999 is out of bounds"},
		{"log level", `"domains":`, `"log_level": "loud", "domains":`, "f:5: log_level: \"loud\" is not a level; write one of: debug, info, warn, error"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(minimalSettings, c.old, c.new, 1)
			if text == minimalSettings {
				t.Fatal("the replacement matches nothing")
			}
			_, err := Parse("f", []byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v\nwant %s", err, c.want)
			}
		})
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	_, err := Parse("f", []byte(`{}`))
	var all Errors
	if !errors.As(err, &all) {
		t.Fatalf("got %T", err)
	}
	want := []string{
		"instance", "domain", "domains", "listen.caller", "listen.peer", "listen.operator",
		"platform.addr", "tls.caller", "tls.peer", "tls.operator",
	}
	var got []string
	for _, e := range all {
		got = append(got, e.Field)
		if e.Remedy == "" {
			t.Errorf("%s names no remedy", e.Field)
		}
	}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Errorf("got %v\nwant %v", got, want)
	}
}

func TestTokenDigest(t *testing.T) {
	want := sha256.Sum256([]byte("secret"))
	token := OperatorToken{TokenSHA256: hex.EncodeToString(want[:])}
	if got := token.Digest(); got != want {
		t.Errorf("got %x", got)
	}
}

func TestLoadReportsMissingFile(t *testing.T) {
	_, err := Load("no-such-file.hujson")
	if err == nil || !strings.Contains(err.Error(), "no-such-file.hujson") {
		t.Errorf("got %v", err)
	}
}
