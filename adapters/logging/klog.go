// Package logging connects the log of kratos to klog.
package logging

import (
	"fmt"
	"strings"

	"github.com/go-kratos/kratos/v2/log"
	"k8s.io/klog/v2"
)

// frameworkVerbosity is the klog verbosity at which the framework's
// informational lines appear.
const frameworkVerbosity = 2

// frameworkLogger writes kratos log lines to klog.
type frameworkLogger struct{}

// Log implements log.Logger of kratos.
func (frameworkLogger) Log(level log.Level, keyvals ...any) error {
	line := strings.TrimSpace(fmt.Sprintln(keyvals...))
	switch {
	case level >= log.LevelError:
		klog.Error(line)
	case level == log.LevelWarn:
		klog.Warning(line)
	default:
		klog.V(frameworkVerbosity).Info(line)
	}
	return nil
}

// UseKlog sends the log lines of kratos to klog.
func UseKlog() {
	log.SetLogger(frameworkLogger{})
}
