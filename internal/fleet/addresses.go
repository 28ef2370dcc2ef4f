package fleet

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/entrypoints"
	"greengagespoke/host"
)

// addressList is a caller's last entry points answer.
type addressList struct {
	answer entrypoints.Answer
	at     time.Time
}

// connect connects a caller to an address of its list, the n-th one. It returns
// no host where the address does not answer, with a refusal where the host
// refuses because it stops.
func (f *Fleet) connect(caller domain.CallerID, n int) (context.Context, *host.Host, *domain.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := f.addressesOf(caller, n)
	if len(addresses) == 0 {
		return nil, nil, nil
	}
	m := f.member(addresses[n%len(addresses)].Host)
	if m == nil || m.stopped {
		delete(f.addresses, caller)
		return nil, nil, nil
	}
	if m.Host.Refusing() {
		delete(f.addresses, caller)
		return nil, nil, domain.Refuse(domain.RefusalLeaving, "this host is stopping", "use another address")
	}
	return m.connections, m.Host, nil
}

// addressesOf returns a caller's list, which it keeps for its max age. The
// caller holds the lock.
func (f *Fleet) addressesOf(caller domain.CallerID, n int) []entrypoints.Address {
	list, ok := f.addresses[caller]
	if ok && time.Since(list.at) < list.answer.MaxAge.D() {
		return list.answer.Addresses
	}
	for i := range f.Hosts {
		m := f.Hosts[(n+i)%len(f.Hosts)]
		if m.stopped || !m.Host.Tables.Ready() {
			continue
		}
		answer := m.Host.EntryPoints(entrypoints.Request{Zone: m.Zone, CallerHint: string(caller)})
		f.addresses[caller] = &addressList{answer: answer, at: time.Now()}
		return answer.Addresses
	}
	return nil
}

func (f *Fleet) member(id domain.HostID) *Member {
	for _, m := range f.Hosts {
		if m.ID == id {
			return m
		}
	}
	return nil
}
