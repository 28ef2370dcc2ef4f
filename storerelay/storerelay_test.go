package storerelay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

func newFleet(n int) []domain.Member {
	out := make([]domain.Member, n)
	for i := range out {
		out[i] = domain.Member{
			ID: domain.HostID(fmt.Sprintf("h%03d", i)), Zone: domain.Zone(fmt.Sprint("z", i%3)),
			State: domain.MemberAlive, Incarnation: 1,
		}
	}
	return out
}

func TestFewHostsOfALargeFleetReadTheStore(t *testing.T) {
	for _, size := range []struct{ hosts, readers int }{{90, 3}, {340, 9}} {
		members := newFleet(size.hosts)
		zoneOf := make(map[domain.HostID]domain.Zone)
		for _, m := range members {
			zoneOf[m.ID] = m.Zone
		}
		directHosts := 0
		hostsByFirstReader := make(map[domain.HostID]int)
		for _, m := range members {
			readers, d := RelaysFor(m.ID, members)
			if d {
				directHosts++
				continue
			}
			last := len(readers) - 1
			for i, r := range readers {
				if _, d := RelaysFor(r, members); !d || (zoneOf[r] == m.Zone) != (i < last) {
					t.Fatalf("%s reads through %v, want readers of its own zone and then one of another zone", m.ID, readers)
				}
			}
			hostsByFirstReader[readers[0]]++
		}
		if directHosts != size.readers {
			t.Errorf("%d of %d hosts read the store directly, want %d", directHosts, size.hosts, size.readers)
		}
		for r, n := range hostsByFirstReader {
			if n > 2*hostsPerStoreReader {
				t.Errorf("%s is the first reader of %d hosts, want at most %d", r, n, 2*hostsPerStoreReader)
			}
		}
	}
	if _, d := RelaysFor("h001", newFleet(maxDirectFleetSize)); !d {
		t.Fatal("a host of a small fleet does not read the store directly")
	}
}

// In a fleet with one zone two hosts read the store, so that one of them may fail.
func TestOneZoneHasTwoReaders(t *testing.T) {
	members := newFleet(30)
	for i := range members {
		members[i].Zone = "z0"
	}
	directHosts := 0
	for _, m := range members {
		readers, d := RelaysFor(m.ID, members)
		if d {
			directHosts++
		} else if len(readers) != minStoreReaders {
			t.Fatalf("%s reads through %v, want two readers", m.ID, readers)
		}
	}
	if directHosts != minStoreReaders {
		t.Fatalf("%d hosts read the store directly, want %d", directHosts, minStoreReaders)
	}
}

func TestDeadReadersAreReplaced(t *testing.T) {
	members := newFleet(90)
	initialReaders, _ := RelaysFor("h000", members)
	if len(initialReaders) == 0 {
		initialReaders, _ = RelaysFor("h003", members)
	}
	for i := range members {
		if slices.Contains(initialReaders, members[i].ID) {
			members[i].State = domain.MemberDead
		}
	}
	for _, m := range members {
		if m.State != domain.MemberAlive {
			continue
		}
		current, _ := RelaysFor(m.ID, members)
		for _, r := range current {
			if slices.Contains(initialReaders, r) {
				t.Fatalf("%s reads through the dead host %s", m.ID, r)
			}
		}
	}
}

func row(key string, version int64) ports.RelayedRow {
	return ports.RelayedRow{Key: key, Value: []byte(key), Version: version}
}

func TestMirrorRelaysChangesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMirror()
		ctx := context.Background()
		if _, err := m.Read(ctx, ports.RelayRequest{Table: "x", All: true}); !errors.Is(err, ports.ErrRelayStale) {
			t.Fatalf("read of a table that was never filled: %v, want ErrRelayStale", err)
		}
		m.Replace("x", []ports.RelayedRow{row("a", 3)}, 5, true)
		all, err := m.Read(ctx, ports.RelayRequest{Table: "x", All: true})
		if err != nil || len(all.Rows) != 1 || all.Version != 5 {
			t.Fatalf("read of all rows: %v, %v", all, err)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			m.Append("x", []ports.RelayedRow{row("b", 7), {Key: "a", Deleted: true}}, 8, true)
		}()
		page, err := m.Read(ctx, ports.RelayRequest{Table: "x", After: 5, Wait: time.Second})
		if err != nil || len(page.Rows) != 2 || page.Version != 8 || !page.Rows[1].Deleted {
			t.Fatalf("read of changes: %v, %v", page, err)
		}
		if page, err := m.Read(ctx, ports.RelayRequest{Table: "x", After: 4}); err != nil || !page.HistoryTruncated {
			t.Fatalf("read of changes before the history starts: %v, %v, want Gone", page, err)
		}
	})
}

// A copy must not be relayed if it is too old, if its host cannot read the store, or
// if its host got it from another host.
func TestMirrorRejectsStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMirror()
		read := func() error {
			_, err := m.Read(context.Background(), ports.RelayRequest{Table: "x", All: true})
			return err
		}
		m.Replace("x", nil, 1, true)
		time.Sleep(MaxCopyAge + time.Millisecond)
		if err := read(); !errors.Is(err, ports.ErrRelayStale) {
			t.Fatalf("read of a copy older than MaxCopyAge: %v, want ErrRelayStale", err)
		}
		m.Append("x", nil, 2, true)
		if err := read(); err != nil {
			t.Fatalf("read of a fresh copy: %v", err)
		}
		m.MarkUnavailable("x")
		if err := read(); !errors.Is(err, ports.ErrRelayStale) {
			t.Fatalf("read while the store is unavailable: %v, want ErrRelayStale", err)
		}
		m.Append("x", nil, 3, true)
		page, err := m.Read(context.Background(), ports.RelayRequest{Table: "x", All: true})
		if err != nil || page.SinceOutage < 0 {
			t.Fatalf("read after the outage: %v, %v", page, err)
		}
		m.Append("x", nil, 4, false)
		if err := read(); !errors.Is(err, ports.ErrRelayStale) {
			t.Fatalf("read of a copy from another host: %v, want ErrRelayStale", err)
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	m := NewMirror()
	m.Replace("x", nil, 0, true)
	for v := int64(1); v <= 3*maxHistoryRows; v++ {
		m.Append("x", []ports.RelayedRow{row("k", v)}, v, true)
	}
	if n := len(m.tables["x"].changes); n > maxHistoryRows {
		t.Fatalf("history holds %d changes, want at most %d", n, maxHistoryRows)
	}
	page, err := m.Read(context.Background(), ports.RelayRequest{Table: "x", After: 1})
	if err != nil || !page.HistoryTruncated {
		t.Fatalf("read of changes before the history starts: %v, %v, want Gone", page, err)
	}
}

// A table that hardly ever changes may be read rarely and is relayed all the same, but not
// once its host cannot read the store.
func TestMirrorRelaysRarelyReadTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMirror()
		m.SetMaxAge("x", 10*time.Second)
		m.Replace("x", nil, 1, true)
		time.Sleep(10 * time.Second)
		if _, err := m.Read(context.Background(), ports.RelayRequest{Table: "x", After: 1}); err != nil {
			t.Fatalf("read of a copy within its maximum age: %v", err)
		}
		time.Sleep(time.Millisecond)
		if _, err := m.Read(context.Background(), ports.RelayRequest{Table: "x", After: 1}); !errors.Is(err, ports.ErrRelayStale) {
			t.Fatalf("read of an older copy: %v, want ErrRelayStale", err)
		}
		m.Append("x", nil, 2, true)
		m.MarkUnavailable("x")
		if _, err := m.Read(context.Background(), ports.RelayRequest{Table: "x", After: 1}); !errors.Is(err, ports.ErrRelayStale) {
			t.Fatalf("read without the store: %v, want ErrRelayStale", err)
		}
	})
}
