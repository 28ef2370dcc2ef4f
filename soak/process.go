package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"greengagespoke/internal/freeport"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/settings"
)

// host is one entry host: a process that is started again and again.
type host struct {
	name, zone string
	binary     string
	// beside is the build with which the host starts next, unless it is empty.
	beside string
	dir    string
	// link leads to the host's view of the store, workers to the workers.
	link    *platformtest.Link
	workers *platformtest.HostLinks
	callers string
	ready   string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	life    int
	// disturbed is until when faults may explain what callers see.
	disturbed time.Time
	// leaving says that the process got SIGTERM.
	leaving bool
}

// newHost writes the settings of a host. It is not started yet.
func newHost(binary, dir, name, zone string, link *platformtest.Link) (*host, error) {
	h := &host{name: name, zone: zone, binary: binary, dir: dir, link: link}
	ports := make([]string, 4)
	for i := range ports {
		var err error
		if ports[i], err = freeport.Address(); err != nil {
			return nil, eris.Wrap(err, "a host has no address")
		}
	}
	h.callers, h.ready = ports[0], ports[1]
	text, err := json.Marshal(platformtest.SettingsFile(name, zone, ports[0], ports[1], ports[2], ports[3], link.Address()))
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settingsPath(), text, 0o600)
}

func (h *host) settingsPath() string { return filepath.Join(h.dir, h.name+".json") }

func (h *host) logPath() string { return filepath.Join(h.dir, h.name+".log") }

// logTimeLayout is the layout of the time of a log line, which follows a letter.
const logTimeLayout = "0102 15:04:05.000000"

// firstLogged returns the time of the first log line since a time that has all the texts.
func (h *host) firstLogged(since time.Time, texts ...string) (at time.Time, ok bool) {
	log, err := os.ReadFile(h.logPath())
	if err != nil {
		return time.Time{}, false
	}
	for line := range strings.Lines(string(log)) {
		if len(line) <= len(logTimeLayout) || slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			continue
		}
		at, err := time.ParseInLocation(logTimeLayout, line[1:1+len(logTimeLayout)], since.Location())
		if at = at.AddDate(since.Year(), 0, 0); err == nil && !at.Before(since) {
			return at, true
		}
	}
	return time.Time{}, false
}

// start starts the process; its log goes to a file.
func (h *host) start() error {
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.binary, "serve") //nolint:noctx // Ended by signals.
	command.Env = append(os.Environ(), settings.PathVariable+"="+h.settingsPath())
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "cannot start %s; build it first", h.binary)
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.command, h.exited, h.leaving = command, exited, false
	h.life++
	h.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that runs now.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Signal(s) // A process that has ended needs none.
	}
}

// disturb notes that faults may explain what callers see for a while.
func (h *host) disturb(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := time.Now().Add(d); until.After(h.disturbed) {
		h.disturbed = until
	}
}

// calm returns the life of the process and whether no fault has touched it since.
func (h *host) calm() (life int, calm bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life, time.Now().After(h.disturbed)
}

// wait waits for the end of the process and kills it after a time.
func (h *host) wait(limit time.Duration) error {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(limit):
		h.signal(syscall.SIGKILL)
		<-exited
		return fmt.Errorf("host %s did not end within %s", h.name, limit)
	}
}
