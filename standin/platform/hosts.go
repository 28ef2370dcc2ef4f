package platform

import (
	"context"
	"sort"
	"sync"
	"time"

	"greengagespoke/ports"
)

// hostChange is the state of a host from one moment on.
type hostChange struct {
	host    ports.ListedHost
	removed bool
	at      time.Time
}

// hostStore keeps the host list with its changes, as answers lag behind.
type hostStore struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	changes map[string][]hostChange
}

func newHostStore(lag time.Duration) *hostStore {
	return &hostStore{lag: lag, changes: make(map[string][]hostChange)}
}

// SetHost adds or replaces a host in the list.
func (p *Platform) SetHost(host ports.ListedHost) {
	p.hosts.record(host.Name, hostChange{host: host})
}

// SetLeaving marks a listed host as leaving.
func (p *Platform) SetLeaving(name string) {
	host, ok := p.hosts.newest(name)
	if !ok {
		return
	}
	host.Leaving = true
	p.hosts.record(name, hostChange{host: host})
}

// RemoveHost removes a host from the list.
func (p *Platform) RemoveHost(name string) {
	p.hosts.record(name, hostChange{removed: true})
}

// SetHostLag changes the age of the answers of the host list.
func (p *Platform) SetHostLag(lag time.Duration) {
	p.hosts.mu.Lock()
	defer p.hosts.mu.Unlock()
	p.hosts.lag = lag
}

// SetHostListOutage starts or ends an outage of the host list alone.
func (p *Platform) SetHostListOutage(on bool) {
	p.hosts.mu.Lock()
	defer p.hosts.mu.Unlock()
	p.hosts.down = on
}

func (s *hostStore) record(name string, change hostChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change.at = time.Now()
	s.changes[name] = append(s.changes[name], change)
}

func (s *hostStore) newest(name string) (ports.ListedHost, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.changes[name]
	if len(changes) == 0 || changes[len(changes)-1].removed {
		return ports.ListedHost{}, false
	}
	return changes[len(changes)-1].host, true
}

// list returns the hosts as they were before the lag, sorted by name.
func (s *hostStore) list() ([]ports.ListedHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, ports.ErrStoreDown
	}
	moment := time.Now().Add(-s.lag)
	var out []ports.ListedHost
	for _, changes := range s.changes {
		for i := len(changes) - 1; i >= 0; i-- {
			if changes[i].at.After(moment) {
				continue
			}
			if !changes[i].removed {
				out = append(out, changes[i].host)
			}
			break
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

// hostService implements ports.HostList.
type hostService struct{ p *Platform }

// Hosts implements ports.HostList.
func (h hostService) Hosts(ctx context.Context) ([]ports.ListedHost, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return h.p.hosts.list()
}
