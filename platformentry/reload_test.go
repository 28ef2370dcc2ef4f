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

// writeSettings writes a settings file in the platform's format.
func writeSettings(t *testing.T, path string, s settings.Settings, graceSeconds any) {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"node": s.Host, "zone": s.Zone, "ip": s.IP, "unknown_field": []int{1},
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

// SIGHUP must reload the settings without ending the process, and an invalid settings
// file must change nothing.
func TestSIGHUPReloadsSettings(t *testing.T) {
	d := newDeployment(t, 1)
	h := d.hosts[0]
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
	restarted := d.runHost(loaded)
	ready := func() bool { return d.statusCode("http://"+loaded.Ready+wire.PathReady) == 200 }
	d.waitFor("ready", ready)
	for _, grace := range []any{9, "nine", 10} {
		writeSettings(t, path, h.settings, grace)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if !ready() {
			t.Fatalf("not ready after a reload with grace %v", grace)
		}
	}
	if got := d.send(restarted, "GET", "/status/x", nil); got.status != 200 {
		t.Fatalf("response after the reloads: %+v", got)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, text := range []string{"{", `{"node": 7}`, `{"node":"a"}`, `{"node":"a","zone":"z","listen":{"front":"here"}}`} {
		if _, err := settings.Decode([]byte(text)); err == nil {
			t.Errorf("settings %s were accepted", text)
		}
	}
}
