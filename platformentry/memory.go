package platformentry

import (
	"math"
	"runtime/debug"

	"greengagespoke/internal/membudget"
	"greengagespoke/platform/settings"
)

// limitRuntime gives Go's runtime the memory limit of the settings, if they state one. GOGC is left
// as it is: it decides until the heap nears the limit.
func (d *Daemon) limitRuntime(s *settings.Settings) {
	if d.ownsProcess && s.MemoryBytes > 0 {
		debug.SetMemoryLimit(membudget.RuntimeLimit(s.MemoryBytes))
	} else if d.ownsProcess && d.memory.Limited() {
		debug.SetMemoryLimit(math.MaxInt64)
	}
}

// urgency returns the urgency of requests for a host name and path; 0 is the highest.
func (d *Daemon) urgency(host, path string) int {
	if _, route := d.catalog.Match(host, path); route != nil {
		return route.Priority
	}
	return 0
}
