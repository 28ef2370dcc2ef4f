package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSettings = `host:
  id: dakar-1-a
  availability_zone: dakar-1
listen:
  callers:
    address: 10.0.0.5:7000
  peers:
    address: 10.0.0.5:7001
peers:
  shared_key: 0123456789abcdef
auth:
  mode: none
platform:
  tables: http://10.0.0.9:7300
  objects: http://10.0.0.9:7300
  host_list: http://10.0.0.9:7300/hosts
`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("host.yaml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Platform.Bucket != "greengagespoke" || s.Listen.Peers.Advertise != "10.0.0.5:7001" {
		t.Errorf("defaults are %q and %q", s.Platform.Bucket, s.Listen.Peers.Advertise)
	}
	if s.Timings.TablePoll.D() != 2*time.Second {
		t.Errorf("table_poll is %s, want 2s", s.Timings.TablePoll.D())
	}
	if text := fmt.Sprintf("%+v %#v", s, s.Peers); strings.Contains(text, "0123456789abcdef") {
		t.Errorf("a dump shows the shared key: %s", text)
	}
}

// TestBadSettings checks the line, the key and part of the problem for each kind of
// error. Each case replaces old by new in the valid settings.
func TestBadSettings(t *testing.T) {
	token := "auth:\n  mode: token\n  issuer: gs\n  keys:\n    - id: a\n      secret: " + strings.Repeat("x", 32) + "\n"
	cases := []struct {
		name, old, new string
		line           int
		key, problem   string
	}{
		{"unknown key", "  mode: none", "  moed: none", 12, "auth.moed", "unknown key"},
		{"unknown section", "auth:", "limts:\n  x: 1\nauth:", 11, "limts", "unknown key"},
		{"missing value", "  id: dakar-1-a", "  id:", 2, "host.id", "missing"},
		{"missing key", "  id: dakar-1-a\n", "", 1, "host.id", "missing"},
		{"missing section", validSettings[strings.Index(validSettings, "platform:"):], "", 1, "platform.tables", "missing"},
		{"number for text", "id: dakar-1-a", "id: 7", 2, "host.id", "wrong type"},
		{"list for text", "id: dakar-1-a", "id: [a]", 2, "host.id", "wrong type"},
		{"text for mapping", "listen:\n  callers:\n    address: 10.0.0.5:7000", "listen:\n  callers: 10.0.0.5:7000", 5, "listen.callers", "wrong type"},
		{"duplicate key", "  mode: none", "  mode: none\n  mode: token", 13, "auth.mode", "already on line 12"},
		{"host name in address", "10.0.0.5:7000", "localhost:7000", 6, "listen.callers.address", "not an address"},
		{"port 0", "10.0.0.5:7000", "10.0.0.5:0", 6, "listen.callers.address", "not an address"},
		{"no port", "10.0.0.5:7001", "10.0.0.5", 8, "listen.peers.address", "not an address"},
		{"same address", "10.0.0.5:7001", "10.0.0.5:7000", 8, "listen.peers.address", "also"},
		{"unreachable", "10.0.0.5:7001", "0.0.0.0:7001", 7, "listen.peers.advertise", "cannot be reached"},
		{"bucket with a slash", "platform:", "platform:\n  bucket: a/b", 14, "platform.bucket", "not a bucket"},
		{"URL without scheme", "http://10.0.0.9:7300", "10.0.0.9:7300", 14, "platform.tables", "not the URL"},
		{"URL with host name", "http://10.0.0.9:7300", "http://platform:7300", 14, "platform.tables", "not the URL"},
		{"no unit", "auth:", "timings:\n  table_poll: 2\nauth:", 12, "timings.table_poll", "has no unit"},
		{"wrong unit", "auth:", "timings:\n  table_poll: 2 parsecs\nauth:", 12, "timings.table_poll", "not a duration"},
		{"negative", "auth:", "timings:\n  table_poll: -2s\nauth:", 12, "timings.table_poll", "negative"},
		{"zero", "auth:", "timings:\n  table_poll: 0s\nauth:", 12, "timings.table_poll", "not above 0"},
		{"too long", "auth:", "timings:\n  table_poll: 1m\nauth:", 12, "timings.table_poll", "longer than"},
		{"unit on a number", "auth:", "limits:\n  max_body_bytes: 4MB\nauth:", 12, "limits.max_body_bytes", "wrong type"},
		{"number out of range", "auth:", "limits:\n  max_body_bytes: 99999999999999999999\nauth:", 12, "limits.max_body_bytes", "wrong type"},
		{"TLS cert without key", "    address: 10.0.0.5:7000", "    address: 10.0.0.5:7000\n    tls:\n      cert: a.pem", 7, "listen.callers.tls.key", "missing"},
		{"peers TLS without CA", "    address: 10.0.0.5:7001", "    address: 10.0.0.5:7001\n    tls: {cert: a, key: b}", 10, "peers.ca", "without peers.ca"},
		{"CA without peers TLS", "peers:\n  shared_key", "peers:\n  ca: a.pem\n  shared_key", 10, "peers.ca", "without listen.peers.tls"},
		{"short shared key", "0123456789abcdef", "abc", 10, "peers.shared_key", "fewer than 16"},
		{"bad mode", "mode: none", "mode: open", 12, "auth.mode", "not a mode"},
		{"token without keys", "mode: none", "mode: token", 11, "auth.keys", "no key"},
		{"keys without token", "mode: none", "mode: none\n  issuer: gs", 13, "auth.issuer", "uses no issuer"},
		{"key id twice", "auth:\n  mode: none\n", token + "    - id: a\n      secret: " + strings.Repeat("y", 32) + "\n", 17, "auth.keys[1].id", "used twice"},
		{"short secret", "auth:\n  mode: none\n", strings.Replace(token, "xx", "x", 1), 16, "auth.keys[0].secret", "fewer than 32"},
		{"verbosity", "auth:", "log:\n  verbosity: 11\nauth:", 12, "log.verbosity", "not a level"},
		{"alias", "id: dakar-1-a", "id: &a dakar-1-a", 2, "host.id", "anchors"},
		{"two documents", "platform:", "---\nplatform:", 13, "", "more than one document"},
		{"bad YAML", "  mode: none", "  mode: none: x", 12, "", "not valid YAML"},
		{"tab", "  mode: none", "\tmode: none", 12, "", "not valid YAML"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validSettings, c.old, c.new, 1)
			if text == validSettings {
				t.Fatal("the edit changes nothing")
			}
			_, err := Parse("host.yaml", []byte(text))
			wantFault(t, err, c.line, c.key, c.problem)
		})
	}
}

func TestEmptyFiles(t *testing.T) {
	for _, text := range []string{"", "\n", "# nothing here\n", "---\n"} {
		_, err := Parse("host.yaml", []byte(text))
		wantFault(t, err, 1, "", "empty")
	}
}

func TestLoadChecksFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "host.yaml")
	_, err := Load(path)
	wantFault(t, err, 0, "", "cannot read")
	text := strings.Replace(validSettings, "    address: 10.0.0.5:7000",
		"    address: 10.0.0.5:7000\n    tls: {cert: none.pem, key: none.pem}", 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = Load(path)
	wantFault(t, err, 7, "listen.callers.tls", "none.pem")
}

func wantFault(t *testing.T, err error, line int, key, problem string) {
	t.Helper()
	var fault *Error
	if !errors.As(err, &fault) {
		t.Fatalf("error is %v, want *Error", err)
	}
	if fault.Line != line || fault.Key != key || !strings.Contains(fault.Problem, problem) {
		t.Errorf("fault is %q (line %d, key %q), want line %d, key %q, problem with %q",
			fault, fault.Line, fault.Key, line, key, problem)
	}
	if fault.Remedy == "" || strings.Contains(fault.Error(), "\n") {
		t.Errorf("fault %q is not one line with a remedy", fault)
	}
}
