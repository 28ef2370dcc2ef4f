package settings

import (
	"fmt"
	"time"

	"greengagespoke/domain"
)

// maxTablePoll bounds the table poll interval, so that every host applies an accepted
// change within seconds.
const maxTablePoll = 5 * time.Second

func (c *checker) timings(t Timings) {
	c.requirePositive(t.EntrypointsMaxAge, "timings.entrypoints_max_age")
	c.requirePositive(t.TablePoll, "timings.table_poll")
	c.require(t.TablePoll.D() <= maxTablePoll, "timings.table_poll",
		fmt.Sprintf("%s is longer than %s", t.TablePoll.D(), maxTablePoll),
		"poll more often, so that changes are in force within seconds")
	c.requirePositive(t.HostListPoll, "timings.host_list_poll")
}

// requirePositive records an error if a duration is zero.
func (c *checker) requirePositive(d domain.Duration, key string) {
	c.require(d > 0, key, "the duration is not above 0", "write a longer duration, such as 2s")
}
