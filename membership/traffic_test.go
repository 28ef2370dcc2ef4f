package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
)

// Allowances for the headers that adapters/peerrpc sends with each message, in bytes.
// Tests of that package check them on a real connection.
const (
	requestHeaderBytes  = 215
	responseHeaderBytes = 80
)

// TCP and IPv4 overhead per exchange, in bytes: three segments on an open connection,
// and six more to open and close one. In a large fleet a host opens a connection for
// each probe.
const (
	segmentHeaderBytes      = 52
	reusedConnExchangeBytes = 3 * segmentHeaderBytes
	newConnExchangeBytes    = 9*segmentHeaderBytes + 16
)

// maxBytesPerSecond limits what one host may send and receive per second in total.
const maxBytesPerSecond = 3000

// traffic is the mean traffic of a cluster per host and second.
type traffic struct{ bytes, messages float64 }

// measure returns the traffic while run executes, in both directions and including
// headers and TCP. Each message counts at its sender and at its receiver.
func (c *cluster) measure(perExchange int, run func()) traffic {
	started := time.Now()
	bytes, messages := c.totals()
	run()
	bytesNow, messagesNow := c.totals()
	messages = messagesNow - messages
	exchanges := messages / 2
	total := bytesNow - bytes + exchanges*(requestHeaderBytes+responseHeaderBytes+perExchange)
	share := 2 / float64(len(c.hosts)) / time.Since(started).Seconds()
	return traffic{float64(total) * share, float64(messages) * share}
}

func (c *cluster) totals() (bytes, messages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes, c.messages
}

// spreadSyncs sets all hosts to the steady-state interval between full view syncs,
// with the next syncs spread at random over it, as they are some time after a start.
func (c *cluster) spreadSyncs() {
	for _, h := range c.hosts {
		h.mu.Lock()
		h.syncInterval = steadySyncInterval(len(h.records))
		h.nextSync = time.Now().Add(time.Duration(h.rand.Int64N(int64(h.syncInterval))))
		h.mu.Unlock()
	}
}

// allHaveRevision reports whether all hosts have at least the table revision.
func (c *cluster) allHaveRevision(revision domain.Revision) bool {
	for _, h := range c.hosts {
		if h.Self().Revision < revision {
			return false
		}
	}
	return true
}

// The traffic per host must stay within maxBytesPerSecond, both idle and with an edit
// of the tables every 33 s and a restart, which is the normal load of a large fleet. A
// revision known to one host must reach all others by gossip alone within the limit
// while 1 in 100 messages is lost.
func TestTrafficAndSpreadTimeBySize(t *testing.T) {
	cases := []struct {
		hosts, exchange, edits int
		limit                  time.Duration
	}{
		{9, reusedConnExchangeBytes, 5, 3 * time.Second},
		{40, newConnExchangeBytes, 5, 5 * time.Second},
		{340, newConnExchangeBytes, 2, 14 * time.Second},
	}
	for _, size := range cases {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, size.hosts)
			c.setLinks(0.01, nil)
			c.await("all alive", time.Minute, c.converged)
			time.Sleep(30 * time.Second)
			c.spreadSyncs()
			idle := c.measure(size.exchange, func() { time.Sleep(20 * time.Second) })
			c.kill(hostID(1))
			c.start(hostID(1))
			busy := c.measure(size.exchange, func() {
				for edit := range size.edits {
					revision := domain.Revision(edit + 1)
					c.hosts[hostID(2)].SetRevision(revision)
					elapsed := c.await("all hosts have the revision", size.limit, func() bool { return c.allHaveRevision(revision) })
					time.Sleep(33*time.Second - elapsed)
				}
			})
			t.Logf("%d hosts: idle %.0f bytes and %.1f messages per second and host, busy %.0f and %.1f",
				size.hosts, idle.bytes, idle.messages, busy.bytes, busy.messages)
			if idle.bytes > maxBytesPerSecond || busy.bytes > maxBytesPerSecond {
				t.Errorf("%d hosts use more than %d bytes per second each", size.hosts, maxBytesPerSecond)
			}
		})
	}
}
