package urgency

import (
	"cmp"
	"slices"

	"greengagespoke/traffic"
)

const (
	// MaxLevels bounds the levels of a service. It is the number of values that engines tell
	// apart. Neighbouring ranks share a level if there are more.
	MaxLevels = 10
	// maxPriority bounds the priorities that are told apart, so that a configuration cannot make
	// the table of ranks large.
	maxPriority = 99
)

// Level is the urgency of a request among the requests of its service.
type Level struct {
	// Index is 0 for the most urgent requests.
	Index int
	// Count is the number of levels of the service. Urgency decides nothing if it is below 2.
	Count int
}

// Matters reports whether the service has requests of different urgency.
func (l Level) Matters() bool { return l.Count > 1 }

// EngineValue returns the urgency that engines are told, 0 to 9 with 0 first, or -1 if they are
// told none.
func (l Level) EngineValue() int {
	if !l.Matters() {
		return -1
	}
	return min(l.Index, MaxLevels-1)
}

// rank orders requests: by the priority of the customer, or that of the route if the customer has
// none, and then by the priority of the route.
type rank struct{ first, route int }

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.first, other.first), cmp.Compare(r.route, other.route))
}

func rankOf(customer *traffic.Customer, route *traffic.Route) rank {
	r := rank{first: clamp(route.Priority), route: clamp(route.Priority)}
	if customer != nil && customer.HasPriority {
		r.first = clamp(customer.Priority)
	}
	return r
}

func clamp(priority int) int { return min(max(priority, 0), maxPriority) }

// Levels holds the ranks of each service in one version of the configuration. It is immutable.
type Levels struct {
	services map[traffic.ServiceName][]rank
}

// NewLevels returns the levels of a configuration.
func NewLevels(config *traffic.Config) *Levels {
	var priorities [maxPriority + 1]bool
	// A request without a customer, or of one without a priority, has the rank of its route.
	withoutPriority := !config.RequiresKeys || len(config.Customers) == 0
	for i := range config.Customers {
		if c := &config.Customers[i]; c.HasPriority {
			priorities[clamp(c.Priority)] = true
		} else {
			withoutPriority = true
		}
	}
	l := &Levels{services: make(map[traffic.ServiceName][]rank)}
	for i := range config.Routes {
		route := &config.Routes[i]
		ranks := ranksOf(route, priorities[:], withoutPriority || route.Public)
		for _, s := range route.Shares {
			if s.Weight > 0 {
				l.services[s.Service] = append(l.services[s.Service], ranks...)
			}
		}
	}
	for service, ranks := range l.services {
		slices.SortFunc(ranks, rank.compare)
		l.services[service] = slices.Compact(ranks)
	}
	return l
}

// ranksOf returns the ranks that requests of a route can have.
func ranksOf(route *traffic.Route, priorities []bool, withoutPriority bool) []rank {
	var ranks []rank
	if withoutPriority {
		ranks = append(ranks, rankOf(nil, route))
	}
	for p, given := range priorities {
		if given {
			ranks = append(ranks, rankOf(&traffic.Customer{Priority: p, HasPriority: true}, route))
		}
	}
	return ranks
}

// Of returns the level of a request. customer is nil if it is not known. A rank that the
// configuration lacks, such as that of a customer of an older version, gets the level of the next
// less urgent one.
func (l *Levels) Of(service traffic.ServiceName, customer *traffic.Customer, route *traffic.Route) Level {
	ranks := l.services[service]
	if len(ranks) < 2 {
		return Level{Count: len(ranks)}
	}
	at, _ := slices.BinarySearchFunc(ranks, rankOf(customer, route), rank.compare)
	at = min(at, len(ranks)-1)
	if len(ranks) <= MaxLevels {
		return Level{Index: at, Count: len(ranks)}
	}
	return Level{Index: at * MaxLevels / len(ranks), Count: MaxLevels}
}
