package tables

import (
	"fmt"
	"net/netip"

	"greengagespoke/domain"
)

// ValidatePool validates a row of the pools table without regard to other rows. The error is
// *InvalidRowError.
func ValidatePool(pool domain.Pool) error {
	return checkPool(string(pool.Name), pool)
}

// checkPool validates a pool stored under a row name.
func checkPool(row string, pool domain.Pool) error {
	c := &checker{table: domain.TablePools, row: row}
	c.requireName(string(pool.Name), "name")
	c.require(string(pool.Name) == row, "name", fmt.Sprintf("%q differs from the row's name %q", pool.Name, row), "write the same name")
	switch pool.Kind {
	case domain.PoolModel:
		checkModelPool(c, pool)
	case domain.PoolService:
		checkServicePool(c, pool)
	default:
		c.require(false, "kind", fmt.Sprintf("%q is unknown", pool.Kind), "write model or service")
	}
	c.requireNonNegative(pool.ServingMinimum, "serving_minimum")
	c.require(pool.ServingMinimum <= len(pool.Upstreams), "serving_minimum", fmt.Sprintf("%d exceeds the %d upstreams", pool.ServingMinimum, len(pool.Upstreams)), "write a number that the pool can keep serving")
	checkUpstreams(c, pool)
	return c.result()
}

func checkModelPool(c *checker, pool domain.Pool) {
	c.require(pool.Model != "", "model", "is missing on a model pool", "write the model that the engines serve")
	c.requireNonNegative(pool.Version, "version")
	c.requireNonNegative(pool.MinPrefill, "min_prefill")
	c.require(pool.MinPrefill <= pool.MaxPrefill, "max_prefill", fmt.Sprintf("%d is below min_prefill %d", pool.MaxPrefill, pool.MinPrefill), "write at least min_prefill; equal values switch role changes off")
	c.require(pool.MaxPrefill <= len(pool.Upstreams), "max_prefill", fmt.Sprintf("%d exceeds the %d upstreams", pool.MaxPrefill, len(pool.Upstreams)), "write at most the number of upstreams")
	c.requireUnset(!pool.ChecksIdempotencyKey, "checks_idempotency_key", "a model pool")
}

func checkServicePool(c *checker, pool domain.Pool) {
	const kind = "a service pool"
	c.requireUnset(pool.Model == "", "model", kind)
	c.requireUnset(pool.Adapter == "", "adapter", kind)
	c.requireUnset(pool.Version == 0, "version", kind)
	c.requireUnset(!pool.ChecksFencing, "checks_fencing", kind)
	c.requireUnset(pool.MinPrefill == 0, "min_prefill", kind)
	c.requireUnset(pool.MaxPrefill == 0, "max_prefill", kind)
}

func checkUpstreams(c *checker, pool domain.Pool) {
	ids := make(map[domain.UpstreamID]int)
	addresses := make(map[string]int)
	for i, up := range pool.Upstreams {
		path := func(field string) string { return fmt.Sprintf("upstreams[%d].%s", i, field) }
		c.requireName(string(up.ID), path("id"))
		first, taken := ids[up.ID]
		c.require(!taken, path("id"), fmt.Sprintf("%q stands at upstreams[%d] too", up.ID, first), "give each upstream its own id")
		ids[up.ID] = i
		c.requireName(string(up.Zone), path("zone"))
		checkAddress(c, path("address"), up.Address)
		first, taken = addresses[up.Address]
		c.require(!taken, path("address"), fmt.Sprintf("%q stands at upstreams[%d] too", up.Address, first), "give each upstream its own address")
		addresses[up.Address] = i
		checkRole(c, path, pool.Kind, up)
	}
}

func checkAddress(c *checker, field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	valid := err == nil && parsed.Port() != 0
	c.require(valid, field, fmt.Sprintf("%q is no address", address), "write IP:port, such as 10.0.0.7:9000")
}

func checkRole(c *checker, path func(string) string, kind domain.PoolKind, up domain.Upstream) {
	c.requireNonNegative(up.Slots, path("slots"))
	c.requireNonNegative(up.Pieces, path("pieces"))
	c.requireNonNegative(up.PrefillRate, path("prefill_rate"))
	c.require(up.LinkRate >= 0, path("link_rate"), "is negative", "write bytes per second")
	if kind == domain.PoolService {
		c.require(up.Role == domain.RoleService, path("role"), fmt.Sprintf("%q does not fit a service pool", up.Role), "write service")
		c.requireUnset(up.Slots == 0, path("slots"), "a service")
		c.requireUnset(up.Pieces == 0, path("pieces"), "a service")
		c.requireUnset(up.PrefillRate == 0, path("prefill_rate"), "a service")
		return
	}
	c.require(up.Role == domain.RolePrefill || up.Role == domain.RoleDecode, path("role"), fmt.Sprintf("%q does not fit a model pool", up.Role), "write prefill or decode")
	decode := up.Role == domain.RoleDecode
	c.require(!decode || up.Slots > 0, path("slots"), "is missing on a decode engine", "write the number of requests that the engine runs at a time")
	c.require(!decode || up.Pieces > 0, path("pieces"), "is missing on a decode engine", fmt.Sprintf("write the engine's memory in pieces of %d tokens", domain.TokensPerPiece))
}
