package settings

import (
	"fmt"
	"time"

	"greengagespoke/domain"
)

// maxTablePoll keeps an accepted change in force everywhere within seconds.
const maxTablePoll = 5 * time.Second

func (c *checker) timings(t Timings) {
	c.positive(t.EntrypointsMaxAge, "timings.entrypoints_max_age")
	c.positive(t.TablePoll, "timings.table_poll")
	c.require(t.TablePoll.D() <= maxTablePoll, "timings.table_poll",
		fmt.Sprintf("%s is longer than %s", t.TablePoll.D(), maxTablePoll),
		"poll more often, so that changes are in force within seconds")
	c.positive(t.HostListPoll, "timings.host_list_poll")
	c.positive(t.ProbeInterval, "timings.probe_interval")
	c.positive(t.ProbeTimeout, "timings.probe_timeout")
	c.shorter(t.ProbeTimeout, "timings.probe_timeout", t.ProbeInterval, "timings.probe_interval")
	c.shorter(t.ProbeInterval, "timings.probe_interval", t.SuspectTimeout, "timings.suspect_timeout")
	c.positive(t.GrantRenew, "timings.grant_renew")
	c.require(2*t.GrantRenew <= t.GrantTerm, "timings.grant_renew",
		fmt.Sprintf("%s is more than half of timings.grant_term (%s)", t.GrantRenew.D(), t.GrantTerm.D()),
		"renew more often or lengthen the term")
	c.leaseTimings(t)
	c.positive(t.ClaimWait, "timings.claim_wait")
}

func (c *checker) leaseTimings(t Timings) {
	c.positive(t.LeaseRenew, "timings.lease_renew")
	c.positive(t.LeaseMargin, "timings.lease_margin")
	c.shorter(t.LeaseRenew, "timings.lease_renew", t.LeaseTerm, "timings.lease_term")
	c.require(t.LeaseRenew+t.LeaseMargin < t.LeaseTerm, "timings.lease_term",
		fmt.Sprintf("%s is not longer than timings.lease_renew and timings.lease_margin together (%s)",
			t.LeaseTerm.D(), (t.LeaseRenew+t.LeaseMargin).D()),
		"lengthen the term or shorten one of the two")
}

// positive records a fault where a duration is zero.
func (c *checker) positive(d domain.Duration, key string) {
	c.require(d > 0, key, "the duration is not above 0", "write a longer duration, such as 2s")
}

// shorter records a fault where a duration is not shorter than another.
func (c *checker) shorter(d domain.Duration, key string, than domain.Duration, thanKey string) {
	c.require(d < than, key, fmt.Sprintf("%s is not shorter than %s (%s)", d.D(), thanKey, than.D()),
		"change one of the two")
}
