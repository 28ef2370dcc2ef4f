package hostwatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/ports"
)

type fakeList struct {
	hosts []ports.ListedHost
	err   error
}

func (f *fakeList) Hosts(context.Context) ([]ports.ListedHost, error) { return f.hosts, f.err }

func TestLastListStaysInForceDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		list := &fakeList{hosts: []ports.ListedHost{{Name: "engine-1", Leaving: true}, {Name: "engine-2"}}}
		w := New(list, time.Second, counters.NewSet())
		go func() { _ = w.Run(ctx) }()
		synctest.Wait()
		if !w.Leaving("engine-1") || w.Leaving("engine-2") {
			t.Fatal("leaving marks differ from the list")
		}
		list.err = errors.New("outage")
		time.Sleep(5 * time.Second)
		if !w.Leaving("engine-1") {
			t.Fatal("the leaving mark was lost during an outage")
		}
		if hosts, err := w.Hosts(ctx); err != nil || len(hosts) != 2 {
			t.Fatalf("Hosts during an outage: %v, %v", hosts, err)
		}
	})
}
