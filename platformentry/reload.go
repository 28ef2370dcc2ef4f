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

// settingsCheck is the time between two looks at the settings file, which may
// change without a signal.
const settingsCheck = 2 * time.Second

// followSettings takes changes of the settings file until the context ends.
func (d *Daemon) followSettings(ctx context.Context) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	seen := modified(d.settings.Path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
		case <-ticker.C:
			if modified(d.settings.Path).Equal(seen) {
				continue
			}
		}
		seen = modified(d.settings.Path)
		d.reload()
	}
}

// modified returns when a file was changed last, or the zero time where it cannot
// be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and adopts what can change while the host runs.
// A file that is not in order changes nothing.
func (d *Daemon) reload() {
	s, err := settings.Load(d.settings.Path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; those before stay in force")
		return
	}
	d.adopt(s)
	restart := s.Callers != d.settings.Callers || s.Ready != d.settings.Ready || s.Directory != d.settings.Directory ||
		s.Peers != d.settings.Peers || s.StoreAddress != d.settings.StoreAddress
	klog.InfoS("settings reloaded", "drain limit", s.DrainLimit, "retry ratio", s.RetryRatio, "retry extra", s.RetryExtra,
		"restart needed for addresses", restart)
}

// adopt puts the settings in force that can change while the host runs.
func (d *Daemon) adopt(s *settings.Settings) {
	d.drainLimit.Store(int64(s.DrainLimit))
	d.answerLife.Store(int64(s.AnswerLife))
	d.budget.Set(dispatch.BudgetLimits{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow})
}
