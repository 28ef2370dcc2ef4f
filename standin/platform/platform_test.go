package platform

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/ports"
)

func put(key, value string, version int64) ports.Txn {
	return ports.Txn{
		If:   []ports.Condition{{Key: key, Version: version}},
		Then: []ports.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestTransactions(t *testing.T) {
	ctx := t.Context()
	tables := New(Config{}).Tables()
	first, err := tables.Commit(ctx, put("a", "1", 0))
	if err != nil || !first.Applied {
		t.Fatalf("first commit: %v %v", first, err)
	}
	if again, _ := tables.Commit(ctx, put("a", "2", 0)); again.Applied {
		t.Fatal("a second creation of the same row was applied")
	}
	both := ports.Txn{If: []ports.Condition{{Key: "a", Version: first.Version}, {Key: "b", Version: 7}}, Then: []ports.Write{{Key: "a", Delete: true}}}
	if res, _ := tables.Commit(ctx, both); res.Applied {
		t.Fatal("a transaction with one failed condition was applied")
	}
	both.If = both.If[:1]
	if res, _ := tables.Commit(ctx, both); !res.Applied {
		t.Fatal("the delete was not applied")
	}
	if _, ok, _ := tables.Get(ctx, "a"); ok {
		t.Fatal("the deleted row is still there")
	}
	if res, _ := tables.Commit(ctx, put("a", "3", 0)); res.Version <= first.Version {
		t.Fatalf("version %d after %d", res.Version, first.Version)
	}
	rows, err := tables.Scan(ctx, "a", "b", 10)
	if err != nil || len(rows) != 1 || string(rows[0].Value) != "3" {
		t.Fatalf("scan: %v %v", rows, err)
	}
}

func TestLimitsAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{WritesPerSecond: 2, ReadsPerSecond: 3})
		tables := p.Tables()
		for range 3 {
			_, _ = tables.Commit(t.Context(), put("a", "1", 0))
		}
		if p.Writes() != 2 || p.Throttles() != 1 {
			t.Fatalf("writes %d throttles %d, want 2 and 1", p.Writes(), p.Throttles())
		}
		time.Sleep(time.Second)
		p.SetOutage(true)
		if _, err := tables.Commit(t.Context(), put("b", "1", 0)); !errors.Is(err, ports.ErrStoreDown) {
			t.Fatalf("commit during the outage: %v", err)
		}
		if _, err := p.Objects().Get(t.Context(), "x"); !errors.Is(err, ports.ErrStoreDown) {
			t.Fatalf("object read during the outage: %v", err)
		}
		p.SetOutage(false)
		if _, ok, _ := tables.Get(t.Context(), "b"); ok {
			t.Fatal("a write refused by the outage took effect")
		}
	})
}

func TestLostAnswers(t *testing.T) {
	p := New(Config{})
	tables := p.Tables()
	p.LoseAnswers(1)
	if _, err := tables.Commit(t.Context(), put("a", "1", 0)); !errors.Is(err, ports.ErrStoreUnknown) {
		t.Fatalf("lost answer: %v", err)
	}
	p.LoseRequests(1)
	if _, err := tables.Commit(t.Context(), put("b", "1", 0)); !errors.Is(err, ports.ErrStoreUnknown) {
		t.Fatalf("lost request: %v", err)
	}
	_, a, _ := tables.Get(t.Context(), "a")
	_, b, _ := tables.Get(t.Context(), "b")
	if !a || b {
		t.Fatalf("row a present %v, row b present %v; want only a", a, b)
	}
	p.OutageAfterNextCommit()
	if res, err := tables.Commit(t.Context(), put("c", "1", 0)); err != nil || !res.Applied {
		t.Fatalf("commit before the outage: %v %v", res, err)
	}
	if _, _, err := tables.Get(t.Context(), "c"); !errors.Is(err, ports.ErrStoreDown) {
		t.Fatalf("read after the outage began: %v", err)
	}
}

func TestSlowWriteLandsAfterTheClientGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{Latency: 4 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := p.Tables().Commit(ctx, put("a", "1", 0)); !errors.Is(err, ports.ErrStoreUnknown) {
			t.Fatalf("abandoned commit: %v", err)
		}
		p.SetLatency(0)
		if _, ok, _ := p.Tables().Get(t.Context(), "a"); ok {
			t.Fatal("the write took effect too early")
		}
		time.Sleep(2 * time.Second)
		if _, ok, _ := p.Tables().Get(t.Context(), "a"); !ok {
			t.Fatal("the abandoned write never took effect")
		}
	})
}

func TestStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{})
		first, _ := p.Tables().Commit(t.Context(), put("a", "old", 0))
		time.Sleep(2 * time.Second)
		_, _ = p.Tables().Commit(t.Context(), put("a", "new", first.Version))
		p.SetStaleReads(time.Second, 1)
		if row, _, _ := p.Tables().Get(t.Context(), "a"); string(row.Value) != "old" {
			t.Fatalf("stale read returned %q", row.Value)
		}
		time.Sleep(time.Second)
		if row, _, _ := p.Tables().Get(t.Context(), "a"); string(row.Value) != "new" {
			t.Fatalf("read after the lag returned %q", row.Value)
		}
	})
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{HostLag: 3 * time.Second})
		p.SetHost(ports.ListedHost{Name: "h1", Zone: "dakar-1"})
		time.Sleep(3 * time.Second)
		p.SetLeaving("h1")
		hosts, err := p.Hosts().Hosts(t.Context())
		if err != nil || len(hosts) != 1 || hosts[0].Leaving {
			t.Fatalf("before the lag: %v %v", hosts, err)
		}
		time.Sleep(3 * time.Second)
		p.RemoveHost("h1")
		if hosts, _ = p.Hosts().Hosts(t.Context()); len(hosts) != 1 || !hosts[0].Leaving {
			t.Fatalf("after the lag: %v", hosts)
		}
		time.Sleep(3 * time.Second)
		if hosts, _ = p.Hosts().Hosts(t.Context()); len(hosts) != 0 {
			t.Fatalf("after the removal: %v", hosts)
		}
	})
}
