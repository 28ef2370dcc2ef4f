package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
)

// Allowances per message besides the encoded message, in bytes, for the headers
// that adapters/peerrpc sends. Its own test checks them on the connection.
const (
	requestHeaders  = 215
	responseHeaders = 80
)

// TCP and IPv4 per exchange, in bytes: three segments on an open connection, and
// six more to open and close one. A host of a large fleet opens one per probe.
const (
	segment        = 52
	openExchange   = 3 * segment
	closedExchange = 9*segment + 16
)

// budget is what one host may send and receive per second, in bytes.
const budget = 3000

// traffic is a cluster's mean per host and second.
type traffic struct{ bytes, messages float64 }

// measure returns the traffic while a function runs: both directions, headers and
// TCP included. Each message counts at its sender and at its receiver.
func (c *cluster) measure(perExchange int, run func()) traffic {
	started := time.Now()
	bytes, messages := c.totals()
	run()
	bytesNow, messagesNow := c.totals()
	messages = messagesNow - messages
	exchanges := messages / 2
	total := bytesNow - bytes + exchanges*(requestHeaders+responseHeaders+perExchange)
	share := 2 / float64(len(c.hosts)) / time.Since(started).Seconds()
	return traffic{float64(total) * share, float64(messages) * share}
}

func (c *cluster) totals() (bytes, messages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes, c.messages
}

// settle moves all hosts to the steady gap between full view syncs, spread over
// that gap, as they are a while after a start.
func (c *cluster) settle() {
	for _, h := range c.hosts {
		h.mu.Lock()
		h.syncGap = steadySync(len(h.records))
		h.nextSync = time.Now().Add(time.Duration(h.rand.Int64N(int64(h.syncGap))))
		h.mu.Unlock()
	}
}

// inForce says whether all hosts have a table revision.
func (c *cluster) inForce(revision domain.Revision) bool {
	for _, h := range c.hosts {
		if h.Self().Revision < revision {
			return false
		}
	}
	return true
}

// TestCostAndSpreadingBySize measures hosts at rest, and with an edit of the tables
// every 33 s and a restart, which is an ordinary day of the large fleet. A revision
// known to one host must reach all others by gossip alone, with 1 in 100 messages
// lost.
func TestCostAndSpreadingBySize(t *testing.T) {
	cases := []struct {
		hosts, exchange, edits int
		limit                  time.Duration
	}{
		{9, openExchange, 5, 3 * time.Second},
		{40, closedExchange, 5, 5 * time.Second},
		{340, closedExchange, 2, 14 * time.Second},
	}
	for _, size := range cases {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, size.hosts)
			c.setLinks(0.01, nil)
			c.await("all alive", time.Minute, c.all)
			time.Sleep(30 * time.Second)
			c.settle()
			rest := c.measure(size.exchange, func() { time.Sleep(20 * time.Second) })
			c.kill(hostID(1))
			c.start(hostID(1))
			busy := c.measure(size.exchange, func() {
				for edit := range size.edits {
					revision := domain.Revision(edit + 1)
					c.hosts[hostID(2)].SetRevision(revision)
					took := c.await("revision in force", size.limit, func() bool { return c.inForce(revision) })
					time.Sleep(33*time.Second - took)
				}
			})
			t.Logf("%d hosts: at rest %.0f bytes and %.1f messages per second and host, busy %.0f and %.1f",
				size.hosts, rest.bytes, rest.messages, busy.bytes, busy.messages)
			if rest.bytes > budget || busy.bytes > budget {
				t.Errorf("%d hosts use more than %d bytes per second each", size.hosts, budget)
			}
		})
	}
}
