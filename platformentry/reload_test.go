package platformentry_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"greengagespoke/platform/platformtest"
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

// The bounds of quotas were ignored, or a negative one granted nothing to anybody.
func TestBoundsOfQuotas(t *testing.T) {
	for overage, valid := range map[float64]bool{0.1: true, -0.1: false} {
		file := platformtest.SettingsFile("a", "z", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")
		bounds := file["bounds"].(map[string]any)
		bounds["quota_window_s"], bounds["quota_overage"], bounds["quota_slack"] = 8, overage, 140000
		text, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := settings.Decode(text)
		if (err == nil) != valid || s.QuotaWindow != 8*time.Second || s.QuotaOverage != overage || s.QuotaSlack != 140_000 {
			t.Errorf("%+v, %v", s, err)
		}
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, text := range []string{"{", `{"node": 7}`, `{"node":"a"}`, `{"node":"a","zone":"z","listen":{"front":"here"}}`} {
		if _, err := settings.Decode([]byte(text)); err == nil {
			t.Errorf("settings %s were accepted", text)
		}
	}
}
