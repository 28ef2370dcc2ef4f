package catalog

import (
	"fmt"
	"testing"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

func customersConfig(version domain.Revision, customers ...traffic.Customer) *traffic.Config {
	c := testConfig(version, "/")
	c.RequiresKeys, c.Customers = true, customers
	return c
}

func customer(name traffic.CustomerName, keys ...string) traffic.Customer {
	c := traffic.Customer{Name: name}
	for _, key := range keys {
		c.Keys = append(c.Keys, traffic.NewCredential(key))
	}
	return c
}

func resolve(c *Catalog, key string) traffic.CustomerName {
	_, _, found := c.Resolve(&traffic.Request{Host: "h", Path: "/", Credential: traffic.NewCredential(key)})
	if found == nil {
		return ""
	}
	return found.Name
}

// A key that two customers hold belongs to the first one, and a request without a key has no
// customer, also if an entry has an empty key.
func TestKeyBelongsToFirstCustomer(t *testing.T) {
	c := New()
	c.Apply(customersConfig(1, customer("a", "k1", ""), customer("b", "k1", "k2")), "test")
	for key, want := range map[string]traffic.CustomerName{"k1": "a", "k2": "b", "": "", "k3": "", "a": ""} {
		if got := resolve(c, key); got != want {
			t.Errorf("key %q belongs to %q, want %q", key, got, want)
		}
	}
}

// Keys of the previous configuration must not be valid any more.
func TestKeysChangeWithTheConfiguration(t *testing.T) {
	c := New()
	var customers []traffic.Customer
	for i := range 45000 {
		customers = append(customers, customer(traffic.CustomerName(fmt.Sprint("c", i)), fmt.Sprint("key ", i)))
	}
	c.Apply(customersConfig(1, customers...), "test")
	if got := resolve(c, "key 44999"); got != "c44999" {
		t.Errorf("the last of the keys belongs to %q", got)
	}
	c.Apply(customersConfig(2, customer("c0", "key 1")), "test")
	if a, b := resolve(c, "key 0"), resolve(c, "key 1"); a != "" || b != "c0" {
		t.Errorf("the removed key belongs to %q, the moved one to %q", a, b)
	}
}

// A request of another host has the customer that the other host states, whatever key it carries.
func TestPassedOnRequestHasTheStatedCustomer(t *testing.T) {
	c := New()
	c.Apply(customersConfig(1, customer("a", "k1"), customer("b", "k2")), "test")
	req := &traffic.Request{Host: "h", Path: "/", Credential: traffic.NewCredential("k1"), Hop: &traffic.Hop{Customer: "b"}}
	if _, _, found := c.Resolve(req); found == nil || found.Name != "b" {
		t.Errorf("the customer is %v", found)
	}
	req.Hop.Customer = ""
	if _, _, found := c.Resolve(req); found != nil {
		t.Errorf("without a name, the customer is %q", found.Name)
	}
}

// A host that knows of a newer configuration must not take its keys for unknown ones.
func TestNewerConfigurationIsHeardOf(t *testing.T) {
	c := New()
	c.Apply(customersConfig(2), "test")
	for _, step := range []struct {
		heard, applied domain.Revision
		lacks          bool
	}{{1, 2, false}, {2, 2, false}, {4, 2, true}, {3, 2, true}, {3, 3, true}, {3, 4, false}} {
		c.ConfigHeard(step.heard)
		c.Apply(customersConfig(step.applied), "test")
		if c.MayLackConfig() != step.lacks {
			t.Errorf("with version %d after another host had %d, may lack a newer one: %t", step.applied, step.heard, !step.lacks)
		}
	}
}
