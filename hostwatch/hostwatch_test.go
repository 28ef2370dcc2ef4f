package hostwatch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/ports"
)

type fakeHostList struct {
	hosts []ports.ListedHost

	mu  sync.Mutex
	err error
}

func (f *fakeHostList) Hosts(context.Context) ([]ports.ListedHost, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts, f.err
}

func (f *fakeHostList) setError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

// The last list must remain usable, including its leaving marks, while polls fail.
func TestLastListIsUsedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		list := &fakeHostList{hosts: []ports.ListedHost{
			{Name: "engine-1", Leaving: true},
			{Name: "engine-2"},
			{Name: "host-1", PeerAddress: "10.0.0.1:7001"},
			{Name: "host-2", PeerAddress: "10.0.0.2:7001", Leaving: true},
		}}
		w := New(list, time.Second, counters.NewSet())
		if n := w.EntryHosts(); n != 0 {
			t.Fatalf("%d entry hosts before the first list", n)
		}
		go func() { _ = w.Run(ctx) }()
		synctest.Wait()
		if !w.Leaving("engine-1") || w.Leaving("engine-2") {
			t.Fatal("leaving marks differ from the list")
		}
		list.setError(errors.New("outage"))
		time.Sleep(5 * time.Second)
		if !w.Leaving("engine-1") {
			t.Fatal("the leaving mark was discarded during an outage")
		}
		if n := w.EntryHosts(); n != 2 {
			t.Fatalf("%d entry hosts during an outage, want 2", n)
		}
		if hosts, err := w.Hosts(ctx); err != nil || len(hosts) != 4 {
			t.Fatalf("Hosts during an outage returned %v, %v", hosts, err)
		}
	})
}
