package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// keyPrefix begins all keys.
	keyPrefix = "sk-"
	// nobody is the customer of the key that no version of the configuration has.
	nobody = "nobody"
	// guests is the number of customers that each have a key in one of as many versions in a row.
	guests = 3
	// keyCycle is the number of requests of a caller of which one has the key of nobody and one that
	// of a guest.
	keyCycle = 12
	// madeUpName is the name that callers state.
	madeUpName = "made up"
)

// residents are the customers of all versions.
var residents = []string{"gold", "silver"}

// keys holds the customers of the requests that were sent, by identifier.
type keys struct {
	mu        sync.Mutex
	customers map[string]string
	// wrong holds what is wrong with messages that reached workers.
	wrong []string
}

// customersOf returns the customers of a version of the configuration. Hosts of the last release
// know none, so that a run beside them has none.
func (r *run) customersOf(version int) []platformtest.Customer {
	if r.options.Beside != "" {
		return nil
	}
	var customers []platformtest.Customer
	for _, name := range append([]string{guest(version)}, residents...) {
		customers = append(customers, platformtest.Customer{Name: name, Keys: []string{keyPrefix + name}})
	}
	return customers
}

func guest(version int) string { return fmt.Sprint("guest-", version%guests) }

// customerOf returns the customer whose key a request carries, by the identifier of its first try.
func customerOf(first string) string {
	caller, _ := strconv.ParseUint(first[:8], 16, 64)
	n, _ := strconv.ParseUint(first[8:], 16, 64)
	switch {
	case caller >= brokenCaller || n%keyCycle > 1:
		return residents[n%uint64(len(residents))]
	case n%keyCycle == 1:
		return guest(int(n / keyCycle))
	default:
		return nobody
	}
}

// isResident reports whether a customer has a key in all versions.
func isResident(customer string) bool { return customer == residents[0] || customer == residents[1] }

// authorize gives a request the key of a customer, and a name that its caller made up.
func (k *keys) authorize(req *http.Request, customer string) {
	req.Header.Set(wire.HeaderAuthorization, "Bearer "+keyPrefix+customer)
	req.Header.Set(wire.HeaderCustomer, madeUpName)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.customers == nil {
		k.customers = make(map[string]string)
	}
	k.customers[req.Header.Get(wire.HeaderRequestID)] = customer
}

// message checks a message that reaches a worker.
func (k *keys) message(req *http.Request) {
	id, name := req.Header.Get(wire.HeaderRequestID), strings.Join(req.Header.Values(wire.HeaderCustomer), ",")
	k.mu.Lock()
	defer k.mu.Unlock()
	customer, known := k.customers[id]
	switch {
	case strings.Contains(fmt.Sprint(req.Header, req.RequestURI), keyPrefix):
		k.wrong = append(k.wrong, fmt.Sprintf("%s %s reached a worker with a key", req.RequestURI, id))
	case known && customer == nobody:
		k.wrong = append(k.wrong, fmt.Sprintf("%s %s has an unknown key and reached a worker", req.RequestURI, id))
	case known && name != customer:
		k.wrong = append(k.wrong, fmt.Sprintf("%s %s of %s reached a worker with the name %q", req.RequestURI, id, customer, name))
	}
}

// checkStatus checks what a caller with the key of a customer was answered. calm says that all
// hosts have had the time to apply the newest configuration before.
func (r *run) checkStatus(h *host, id, customer string, status int, calm bool) {
	if r.options.Beside != "" {
		return
	}
	r.mu.Lock()
	valid := customer == guest(r.version)
	r.mu.Unlock()
	switch {
	case status == http.StatusOK && customer == nobody:
		r.ledger.find("request %s was served by %s with an unknown key", id, h.name)
	case status == http.StatusUnauthorized && isResident(customer):
		r.ledger.find("request %s of %s was refused by %s as if its key were unknown", id, customer, h.name)
	case calm && status == http.StatusOK && !valid && !isResident(customer):
		r.ledger.find("request %s was served by %s with the key of %s, which was taken away", id, h.name, customer)
	case calm && status == http.StatusUnauthorized && valid:
		r.ledger.find("request %s was refused by %s, which does not know the new key of %s", id, h.name, customer)
	}
}

// checkKeys checks that no key reached a worker, and that each message had the name of its customer.
func (r *run) checkKeys() {
	r.keys.mu.Lock()
	defer r.keys.mu.Unlock()
	if wrong := r.keys.wrong; r.options.Beside == "" && len(wrong) > 0 {
		r.ledger.find("%d messages reached workers with wrong names or keys, the first: %s", len(wrong), wrong[0])
	}
}
