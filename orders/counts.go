package orders

import (
	"expvar"

	"greengagespoke/counters"
)

var (
	defLeases   = counters.Define("orders_leases_held", "leases of a pool and zone that this host currently holds")
	defSent     = counters.Define("orders_sent", "orders sent to engines")
	defFailed   = counters.Define("orders_failed", "orders that an engine did not confirm")
	defFenced   = counters.Define("orders_fenced", "orders that engines rejected because of a stale fencing token")
	defHeldBack = counters.Define("orders_held_back", "times that an order was deferred because of the pool's serving minimum")
	defWaited   = counters.Define("orders_waited_for_turn", "times that an order waited for another load to finish")
	defRoles    = counters.Define("orders_role_changes", "roles that this host changed in the pools table")
	defErrors   = counters.Define("orders_lease_errors", "failed attempts to acquire or renew a lease, mostly because of an outage of the table service")
)

// counts holds the counters of one controller.
type counts struct {
	leases, sent, failed, fenced, heldBack, waited, roles, errors *expvar.Int
}

func newCounts(set *counters.Set) counts {
	if set == nil {
		set = counters.NewSet()
	}
	return counts{
		leases:   set.Int(defLeases),
		sent:     set.Int(defSent),
		failed:   set.Int(defFailed),
		fenced:   set.Int(defFenced),
		heldBack: set.Int(defHeldBack),
		waited:   set.Int(defWaited),
		roles:    set.Int(defRoles),
		errors:   set.Int(defErrors),
	}
}
