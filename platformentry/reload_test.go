package platformentry_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"greengagespoke/platform/settings"
	"greengagespoke/platform/wire"
)

// writeSettings writes a settings file as the platform does.
func writeSettings(t *testing.T, path string, s settings.Settings, graceSeconds any) {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"node": s.Host, "zone": s.Zone, "ip": s.IP, "a field of tomorrow": []int{1},
		"listen": map[string]string{
			"front": s.Callers, "ready": s.Ready, "directory": s.Directory, "control": s.Peers,
		},
		"platform": map[string]any{"address": s.StoreAddress},
		"bounds": map[string]any{
			"grace_s": graceSeconds, "ttl_max_s": 5, "retry_budget_ratio": 0.2, "budget_extra": 58, "budget_window_s": 10,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP reloads the settings and does not end the process. A file at fault
// changes nothing.
func TestHangUpReloadsSettings(t *testing.T) {
	s := newSite(t, 1)
	h := s.hosts[0]
	h.stop()
	if err := <-h.done; err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	writeSettings(t, path, h.settings, 8)
	loaded, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	again := s.run(loaded)
	ready := func() bool { return s.status("http://"+loaded.Ready+wire.PathReady) == 200 }
	s.await("ready", ready)
	for _, grace := range []any{9, "nine", 10} {
		writeSettings(t, path, h.settings, grace)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if !ready() {
			t.Fatalf("not ready after a reload with grace %v", grace)
		}
	}
	if got := s.send(again, "GET", "/status/x", nil); got.status != 200 {
		t.Fatalf("answer after the reloads: %+v", got)
	}
}

func TestSettingsAtFaultNameKeyAndRemedy(t *testing.T) {
	for _, text := range []string{"{", `{"node": 7}`, `{"node":"a"}`, `{"node":"a","zone":"z","listen":{"front":"here"}}`} {
		if _, err := settings.Decode([]byte(text)); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}
