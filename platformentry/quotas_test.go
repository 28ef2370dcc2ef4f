package platformentry_test

import (
	"net/http"
	"testing"
	"time"

	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

// Whole hosts must keep to a quota together: what is beyond it gets 429 with a time to come back and
// reaches no upstream, other customers and those without a limit are served, and calls are charged
// once, also those that another host passes on.
func TestQuotaOfAllHosts(t *testing.T) { playTrial(t, testQuotas) }

func testQuotas(t *testing.T) {
	t.Helper()
	c := &cutTrial{t: t, hosts: 3, cut: 1, mode: platformtest.LinkReset, links: make(map[*host]*platformtest.HostLinks)}
	c.start()
	d := c.d
	d.setCustomers(2, "gold", "silver")
	d.customers[0].Rate, d.customers[0].Burst = 2, 12
	d.configure(3, "ledger")
	// Until its granting hosts have filled the buckets.
	time.Sleep(15 * time.Second)
	burst := func(name string, hosts int) (served, refused int) {
		for i := range 45 {
			got := d.send(d.hosts[i%hosts], "GET", "/status/x", keyOf(name))
			switch got.status {
			case http.StatusOK:
				served++
			case http.StatusTooManyRequests:
				refused++
				if got.header.Get(wire.HeaderRetryAfter) == "" || d.executions(got.id) != 0 {
					t.Errorf("429 without a time to come back, or of a call that ran: %+v", got)
				}
			default:
				t.Errorf("%s: %+v", name, got)
			}
		}
		return served, refused
	}
	for hosts := range 2 { // At one host, then at all of them.
		if served, refused := burst("gold", 1+2*hosts); served < 12 || served > 16 || served+refused != 45 {
			t.Errorf("%d calls served and %d refused, with a burst of 12", served, refused)
		}
		time.Sleep(15 * time.Second)
	}
	if served, _ := burst("silver", 3); served != 45 {
		t.Errorf("%d of 45 calls of a customer without a limit served", served)
	}
	c.begin()
	time.Sleep(contactTime)
	if served, refused := burst("gold", 3); served < 12 || served > 16 || served+refused != 45 {
		t.Errorf("%d calls served and %d refused while hosts pass calls on", served, refused)
	}
}
