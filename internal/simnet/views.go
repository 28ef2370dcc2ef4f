package simnet

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Members is one membership view that all hosts share. Changes are seen by all
// at once.
type Members struct {
	mu   sync.RWMutex
	byID map[domain.HostID]domain.Member
}

// NewMembers returns a view of alive members.
func NewMembers(members ...domain.Member) *Members {
	m := &Members{byID: make(map[domain.HostID]domain.Member, len(members))}
	for _, member := range members {
		m.byID[member.ID] = member
	}
	return m
}

// SetState changes the state of a member.
func (m *Members) SetState(id domain.HostID, state domain.MemberState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member := m.byID[id]
	member.State = state
	m.byID[id] = member
}

// View returns the membership as a host sees it.
func (m *Members) View(self domain.HostID) ports.Membership {
	return &memberView{members: m, self: self}
}

// All returns the members, sorted by identifier.
func (m *Members) All() []domain.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]domain.Member, 0, len(m.byID))
	for _, member := range m.byID {
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

type memberView struct {
	members *Members
	self    domain.HostID
}

// Self implements ports.Membership.
func (v *memberView) Self() domain.Member {
	v.members.mu.RLock()
	defer v.members.mu.RUnlock()
	return v.members.byID[v.self]
}

// Members implements ports.Membership.
func (v *memberView) Members() []domain.Member { return v.members.All() }

// Tables is a fixed state of the two tables. It implements ports.TableView.
type Tables struct {
	routes []domain.Route
	pools  []domain.Pool
}

var _ ports.TableView = (*Tables)(nil)

// NewTables returns a view of the rows.
func NewTables(routes []domain.Route, pools []domain.Pool) *Tables {
	return &Tables{routes: routes, pools: pools}
}

// Revision implements ports.TableView.
func (t *Tables) Revision() domain.Revision { return 1 }

// RouteForModel implements ports.TableView.
func (t *Tables) RouteForModel(model string) (domain.Route, bool) {
	for _, r := range t.routes {
		if r.Model == model && model != "" {
			return r, true
		}
	}
	return domain.Route{}, false
}

// RouteForPath implements ports.TableView.
func (t *Tables) RouteForPath(path string) (domain.Route, bool) {
	var best domain.Route
	for _, r := range t.routes {
		if r.PathPrefix != "" && strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best, best.PathPrefix != ""
}

// Pool implements ports.TableView.
func (t *Tables) Pool(name domain.PoolName) (domain.Pool, bool) {
	for _, p := range t.pools {
		if p.Name == name {
			return p, true
		}
	}
	return domain.Pool{}, false
}

// Pools implements ports.TableView.
func (t *Tables) Pools() []domain.Pool { return t.pools }

// Routes implements ports.TableView.
func (t *Tables) Routes() []domain.Route { return t.routes }

// HostList is the platform's host list. It implements ports.HostList.
type HostList struct {
	mu    sync.Mutex
	hosts []ports.ListedHost
}

var _ ports.HostList = (*HostList)(nil)

// NewHostList returns a list of hosts.
func NewHostList(hosts ...ports.ListedHost) *HostList {
	return &HostList{hosts: hosts}
}

// Add puts a host on the list.
func (l *HostList) Add(host ports.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = append(slices.Clone(l.hosts), host)
}

// Remove takes a host off the list.
func (l *HostList) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = slices.DeleteFunc(slices.Clone(l.hosts), func(h ports.ListedHost) bool { return h.Name == name })
}

// SetLeaving marks a host or an upstream as leaving.
func (l *HostList) SetLeaving(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = slices.Clone(l.hosts)
	for i := range l.hosts {
		l.hosts[i].Leaving = l.hosts[i].Leaving || l.hosts[i].Name == name
	}
}

// Hosts implements ports.HostList.
func (l *HostList) Hosts(context.Context) ([]ports.ListedHost, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts, nil
}
