// Package logging sends the log lines of kratos and of package log to klog, and
// provides a log writer that never blocks.
package logging

import (
	"fmt"
	stdlog "log"
	"strings"
	"sync"

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

// standardWriter writes lines of package log to klog. HTTP servers log failed
// connections and panics there. Only panics are errors; a failed connection is not a
// change of state and appears at a higher verbosity.
type standardWriter struct{}

// Write implements io.Writer.
func (standardWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.Contains(text, "panic") {
		klog.Error(text)
	} else {
		klog.V(frameworkVerbosity).Info(text)
	}
	return len(line), nil
}

// useKlog takes effect once, as several daemons may start in one process.
var useKlog = sync.OnceFunc(func() {
	log.SetLogger(frameworkLogger{})
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardWriter{})
})

// UseKlog redirects the log lines of kratos and of package log to klog.
func UseKlog() { useKlog() }
