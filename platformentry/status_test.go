package platformentry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"greengagespoke/dispatch"
	"greengagespoke/domain"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platformentry"
)

// status returns the status of a host and its text.
func (d *deployment) status(method string) (status platformentry.Status, text string, code int) {
	d.t.Helper()
	text, code = d.page(method, platformentry.PathStatus, nil, &status)
	return status, text, code
}

// page decodes what the metrics listener of the host with d.metricsPort answers, and returns its text.
func (d *deployment) page(method, path string, header http.Header, into any) (text string, code int) {
	d.t.Helper()
	req, err := http.NewRequestWithContext(d.t.Context(), method, fmt.Sprintf("http://127.0.0.1:%d%s", d.metricsPort, path), http.NoBody)
	if err != nil {
		d.t.Fatal(err)
	}
	maps.Copy(req.Header, header)
	resp, err := d.transport.RoundTrip(req)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, into); err != nil {
			d.t.Fatalf("%v: %s", err, body)
		}
	}
	return string(body), resp.StatusCode
}

// The status must tell what the host serves by, and must hold no key of a customer or caller and no
// text of the configuration but the names of customers.
func TestStatusOfAHost(t *testing.T) { playTrial(t, testStatus) }

func testStatus(t *testing.T) {
	t.Helper()
	c := &cutTrial{t: t, hosts: 2, links: make(map[*host]*platformtest.HostLinks)}
	c.start()
	d := c.d
	d.setCustomers(2, "gold", "silver")
	d.customers[0].Rate, d.customers[0].Burst = 2, 12
	d.configure(3, "ledger")
	_, port, _ := net.SplitHostPort(d.freeAddress())
	d.metricsPort, _ = strconv.Atoi(port)
	h := d.startHost("watched", "z-a")
	time.Sleep(15 * time.Second)
	refused := 0
	for range 40 {
		if d.send(h, "GET", "/status/x", keyOf("gold")).status == http.StatusTooManyRequests {
			refused++
		}
		d.send(h, "GET", "/status/x", keyOf("wrong"))
	}
	status, text, _ := d.status(http.MethodGet)
	if status.Host != "watched" || status.Leaving || status.Config.Version != 3 || status.Config.MayLackNewer || status.Members[domain.MemberAlive] != 3 {
		t.Errorf("%s", text)
	}
	if q := status.Quotas; len(q.Customers) != 1 || q.Customers[0].Name != "gold" || q.Customers[0].Recent.Over != float64(refused) || q.Customers[0].Recent.Charged != float64(40-refused) || refused == 0 {
		t.Errorf("%d of 40 refused, %+v", refused, q)
	}
	for _, secret := range []string{keyPrefix, "Bearer", testHost, "/filing/", "/status/", "ledger", "models", "tenants"} {
		if strings.Contains(text, secret) {
			t.Errorf("the status holds %q: %s", secret, text)
		}
	}
	d.checkExplanations()
	if _, _, code := d.status(http.MethodPost); code != http.StatusMethodNotAllowed {
		t.Errorf("POST got %d", code)
	}
	d.store.SetMode(platformtest.StoreSilent)
	time.Sleep(storeLostTime)
	if status, text, _ = d.status(http.MethodGet); !status.Config.MayLackNewer || status.Config.Version != 3 {
		t.Errorf("without the store: %s", text)
	}
	d.store.SetMode(platformtest.StoreUp)
	h.stop()
	time.Sleep(time.Second)
	if status, text, _ = d.status(http.MethodGet); !status.Leaving || status.Members[domain.MemberLeaving] != 1 {
		t.Errorf("leaving: %s", text)
	}
}

// checkExplanations checks that a host finds the customer of a key, refuses an unknown one as it does
// requests, charges nothing and echoes no key.
func (d *deployment) checkExplanations() {
	d.t.Helper()
	before, _, _ := d.status(http.MethodGet)
	var counted, countedAfter struct {
		Unknown int `json:"dispatch_keys_unknown"`
	}
	d.page(http.MethodGet, "/metrics", nil, &counted)
	for key, refused := range map[string]bool{"gold": false, "silver": false, "unknown": true} {
		var e dispatch.Explanation
		text, code := d.page(http.MethodGet, platformentry.PathExplain+"?host="+testHost+"&path=/status/x", keyOf(key), &e)
		if code != http.StatusOK || (e.Refused != "") != refused || !refused && string(e.Customer) != key || (e.Quota != nil) != (key == "gold") ||
			e.Route != "/status/" || len(e.Services) != 1 || len(e.Services[0].Upstreams) != 3 || strings.Contains(text, keyPrefix) {
			d.t.Errorf("key of %s: %d %s", key, code, text)
		}
	}
	d.page(http.MethodGet, "/metrics", nil, &countedAfter)
	if after, _, _ := d.status(http.MethodGet); after.Quotas.Customers[0].Recent != before.Quotas.Customers[0].Recent || counted != countedAfter || counted.Unknown == 0 {
		d.t.Errorf("charged or counted: %+v, %+v after %+v", after.Quotas, countedAfter, counted)
	}
}
