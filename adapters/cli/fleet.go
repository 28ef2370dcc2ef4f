package cli

import (
	"cmp"
	"context"
	"errors"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"greengagespoke/adapters/gateclient"
	"greengagespoke/domain"
)

const (
	// statusTimeout bounds the status call to one host.
	statusTimeout = 2 * time.Second
	// maxParallelStatusCalls bounds the status calls in flight.
	maxParallelStatusCalls = 16
)

// hostState is the known state of one host.
type hostState struct {
	Host domain.HostID `json:"host"`
	Zone domain.Zone   `json:"zone"`
	// State is the state that the host reports, or the one that its peers see if
	// the host does not respond.
	State    domain.MemberState `json:"state"`
	Revision domain.Revision    `json:"revision"`
	// Answered reports whether the host itself responded. If not, the revision is
	// the last one that its peers know of.
	Answered bool `json:"answered"`
	// Unreadable lists the table rows that the host could not decode; it keeps using
	// their last valid value.
	Unreadable []string `json:"unreadable,omitempty"`

	address string
	// members are the members that the host sees.
	members []domain.Member
}

// fleet queries hosts for their state and the table revision that they apply.
type fleet struct {
	store storeFlags
	hosts hostFlags
}

var (
	// errNoHostSource means that no flag says how to find the hosts.
	errNoHostSource = usageError("name the hosts with --host, --host-list or --settings")
	// errNoHosts means that the host list has no entry host.
	errNoHosts = errors.New("the host list names no entry host; name one with --host")
)

// states returns the state of all hosts, sorted by zone and name.
func (f *fleet) states(ctx context.Context) ([]hostState, error) {
	access, err := f.store.access()
	if err != nil {
		return nil, err
	}
	states, err := f.known(ctx, access)
	if err != nil {
		return nil, err
	}
	group := new(errgroup.Group)
	group.SetLimit(maxParallelStatusCalls)
	for i := range states {
		group.Go(func() error {
			f.fetchStatus(ctx, access, &states[i])
			return nil
		})
	}
	_ = group.Wait()
	fillFromPeers(states)
	sort.Slice(states, func(i, j int) bool {
		if states[i].Zone != states[j].Zone {
			return states[i].Zone < states[j].Zone
		}
		return states[i].Host < states[j].Host
	})
	return states, ctx.Err()
}

// known returns the hosts that the named hosts see and those of the host list.
func (f *fleet) known(ctx context.Context, access storeAccess) ([]hostState, error) {
	if len(f.hosts.hosts) == 0 && access.config.HostsURL == "" {
		return nil, errNoHostSource
	}
	found := make(map[domain.HostID]hostState)
	seenErr := f.seenByHosts(ctx, found)
	listErr := listed(ctx, access, found)
	if len(found) == 0 {
		return nil, callerFault(cmp.Or(errors.Join(seenErr, listErr), errNoHosts))
	}
	states := make([]hostState, 0, len(found))
	for _, s := range found {
		states = append(states, s)
	}
	return states, nil
}

// seenByHosts adds the members that the named hosts see.
func (f *fleet) seenByHosts(ctx context.Context, found map[domain.HostID]hostState) error {
	if len(f.hosts.hosts) == 0 {
		return nil
	}
	client, err := f.hosts.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	for _, m := range status.Members {
		found[m.ID] = hostState{Host: m.ID, Zone: m.Zone, State: m.State, Revision: m.Revision, address: m.CallerAddress}
	}
	return nil
}

// listed adds the entry hosts of the platform's host list, if its URL is known.
func listed(ctx context.Context, access storeAccess, found map[domain.HostID]hostState) error {
	if access.config.HostsURL == "" {
		return nil
	}
	client, err := access.client()
	if err != nil {
		return err
	}
	hosts, err := client.Hosts().Hosts(ctx)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		id := domain.HostID(h.Name)
		if _, there := found[id]; there || h.CallerAddress == "" {
			continue
		}
		state := domain.MemberAlive
		if h.Leaving {
			state = domain.MemberLeaving
		}
		found[id] = hostState{Host: id, Zone: h.Zone, State: state, address: h.CallerAddress}
	}
	return nil
}

// fillFromPeers sets the state and revision of each host that did not respond to
// those that its peers know of. Of several peers, the entry with the highest
// incarnation counts.
func fillFromPeers(states []hostState) {
	newest := make(map[domain.HostID]domain.Member)
	for _, s := range states {
		for _, m := range s.members {
			if old, seen := newest[m.ID]; !seen || m.Incarnation > old.Incarnation {
				newest[m.ID] = m
			}
		}
	}
	for i := range states {
		s := &states[i]
		m, seen := newest[s.Host]
		if s.Answered || !seen {
			continue
		}
		s.Revision = max(s.Revision, m.Revision)
		if m.State != domain.MemberAlive {
			s.State = m.State
		}
	}
}

// fetchStatus fetches the status of a host and stores it in s. A host that cannot be
// reached becomes suspect if its state was alive.
func (f *fleet) fetchStatus(ctx context.Context, access storeAccess, s *hostState) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	hosts := f.hosts
	hosts.hosts = []string{f.hosts.withKnownScheme(access, s.address)}
	client, err := hosts.client()
	if err != nil {
		return
	}
	status, err := client.Status(ctx)
	var unreachable *gateclient.UnreachableError
	if errors.As(err, &unreachable) && s.State == domain.MemberAlive {
		s.State = domain.MemberSuspect
	}
	if err != nil {
		return
	}
	s.Answered = true
	s.members = status.Members
	s.Revision = status.Revision
	s.Unreadable = status.Unreadable
	s.State = domain.MemberAlive
	if status.Leaving {
		s.State = domain.MemberLeaving
	}
}
