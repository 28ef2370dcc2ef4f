package membership

import (
	"fmt"
	"testing"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// BenchmarkProbe measures the handling of one probe with four gossip updates, of which
// one changes the view, and of its answer.
func BenchmarkProbe(b *testing.B) {
	for _, n := range []int{9, 40, 340} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			m := New(Config{Self: domain.Member{ID: "self", Incarnation: 1}})
			var view []domain.Member
			for i := range n {
				view = append(view, domain.Member{
					ID: hostID(i), Zone: "dakar-1", State: domain.MemberAlive, Incarnation: 1,
					PeerAddress: "10.20.130.140:7102", CallerAddress: "10.20.130.140:7100",
				})
			}
			if _, err := m.Sync(b.Context(), view); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				changed := view[i%n]
				changed.Incarnation = uint64(i/n + 2)
				msg := ports.ProbeMessage{From: hostID(i % n), Revision: domain.Revision(i), Updates: append(view[:3:3], changed)}
				if _, err := m.Probe(b.Context(), msg); err != nil {
					b.Fatal(err)
				}
				m.Members()
			}
		})
	}
}
