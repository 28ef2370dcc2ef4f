package platformentry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/dispatch"
	"greengagespoke/platform/settings"
)

// settingsPollInterval is the time between checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and whenever the settings file changes,
// until ctx ends.
func (d *Daemon) watchSettings(ctx context.Context) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(d.settings.Path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
			if modTime(d.settings.Path).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(d.settings.Path)
		d.reload()
	}
}

// modTime returns the modification time of a file, or the zero time if the file cannot
// be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and applies the settings that can change while the
// host runs. An invalid file changes nothing.
func (d *Daemon) reload() {
	s, err := settings.Load(d.settings.Path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; those before stay in force")
		return
	}
	d.applySettings(s)
	restartNeeded := s.Callers != d.settings.Callers || s.Ready != d.settings.Ready || s.Directory != d.settings.Directory ||
		s.Peers != d.settings.Peers || s.StoreAddress != d.settings.StoreAddress
	klog.InfoS("settings reloaded", "drain limit", s.DrainLimit, "retry ratio", s.RetryRatio, "retry extra", s.RetryExtra,
		"restart needed for addresses", restartNeeded)
}

// applySettings applies the settings that can change while the host runs.
func (d *Daemon) applySettings(s *settings.Settings) {
	d.drainLimit.Store(int64(s.DrainLimit))
	d.maxAddressListTTL.Store(int64(s.MaxAddressListTTL))
	d.quotas.SetBounds(quotaBounds(s))
	d.limitRuntime(s)
	d.memory.SetLimit(s.MemoryBytes)
	d.retryBudget.Set(dispatch.BudgetLimits{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow})
}
