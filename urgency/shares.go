package urgency

import (
	"math"
	"time"

	"greengagespoke/internal/bounded"
	"greengagespoke/traffic"
)

const (
	// shareHalfLife is the time in which places count half towards the share of a customer.
	shareHalfLife = 2 * time.Second
	// maxSharers bounds the customers whose places a queue remembers.
	maxSharers = 512
	// unlimitedRate is the weight of a customer without a quota in tokens, in tokens per second.
	// It only matters beside customers that have one.
	unlimitedRate = 100_000
	// minShare is the share below which a customer counts as one without recent places, in
	// seconds of its rate.
	minShare = 1e-6
)

// Shares tells how much of the places of a queue each customer got lately, in relation to its
// quota. It is not safe for concurrent use.
type Shares struct {
	used *bounded.Map[traffic.CustomerName, share]
	// total is the sum of the shares as of at.
	total float64
	at    time.Time
}

// share is the sum of places, as of at.
type share struct {
	sum float64
	at  time.Time
}

func (s share) now(now time.Time) float64 { return s.sum * decay(now.Sub(s.at)) }

func decay(d time.Duration) float64 { return math.Exp2(-max(0, d.Seconds()) / shareHalfLife.Seconds()) }

// NewShares returns the shares of a queue that gave no places yet.
func NewShares() *Shares {
	return &Shares{used: bounded.New[traffic.CustomerName, share](maxSharers)}
}

// Placed records that a request of a customer got a place for some tokens.
func (s *Shares) Placed(c *traffic.Customer, tokens int, now time.Time) {
	if c == nil {
		return
	}
	rate := float64(unlimitedRate)
	if c.Quota.Limited() && c.Quota.Unit == traffic.QuotaTokens {
		rate = c.Quota.Rate
	}
	cost := float64(tokens) / rate
	s.used.Put(c.Name, share{sum: s.used.Entries[c.Name].now(now) + cost, at: now})
	s.total, s.at = 0, now
	for name, other := range s.used.Entries {
		sum := other.now(now)
		if sum < minShare {
			s.used.Remove(name)
			continue
		}
		s.total += sum
	}
}

// Excess returns how often the share of a customer doubles the mean of all that got places lately,
// rounded down: 0 up to twice the mean, 1 up to four times, and so on. Requests with a smaller
// excess come first, so that the surge of one customer does not delay the others. Customers with
// usual differences have the same excess, so that other keys decide between them.
func (s *Shares) Excess(c *traffic.Customer, now time.Time) int {
	if c == nil || len(s.used.Entries) < 2 {
		return 0
	}
	own := s.used.Entries[c.Name].now(now)
	others := (s.total*decay(now.Sub(s.at)) - own) / float64(len(s.used.Entries)-1)
	if own <= 0 {
		return 0
	}
	return max(0, int(math.Log2(own/max(others, minShare))))
}
