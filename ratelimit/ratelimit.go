// Package ratelimit keeps the rate limits that upstreams state.
package ratelimit

import (
	"sync"

	"k8s.io/klog/v2"

	"greengagespoke/counters"
	"greengagespoke/internal/shard"
	"greengagespoke/traffic"
)

var (
	defStated = counters.Define("ratelimit_stated", "changes of the rate limits that upstreams state in responses to this host")
	defSent   = counters.Define("ratelimit_sent", "requests sent to upstreams that have stated a rate limit: calls, prompts and streams")
)

// Limits keeps the rate limit that each upstream stated last. It is safe for concurrent
// use.
type Limits struct {
	counters *counters.Set
	states   *shard.Map[traffic.Incarnation, *state]
}

// state is what is known of one process of an upstream.
type state struct {
	mu sync.Mutex
	// rate is the stated limit in requests a second; 0 if there is none.
	rate float64
}

// New returns an empty Limits.
func New(set *counters.Set) *Limits {
	return &Limits{counters: set, states: shard.NewMap[traffic.Incarnation, *state]()}
}

// Observe records that an upstream stated a rate limit in a response, in requests a second,
// or that it states none.
func (l *Limits) Observe(up *traffic.Upstream, rate float64, stated bool) {
	s, known := l.states.Load(up.Incarnation())
	if !known && !stated {
		return
	}
	if !known {
		s = l.state(up.Incarnation())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate == rate {
		return
	}
	l.counters.Int(defStated).Add(1)
	klog.InfoS("upstream states a rate limit", "upstream", up.ID, "process", up.Incarnation().String(), "rate", rate, "before", s.rate, "stated", stated)
	s.rate = rate
}

// Sent counts a request that is sent to an upstream.
func (l *Limits) Sent(up *traffic.Upstream) {
	if s, known := l.states.Load(up.Incarnation()); known && s.limited() {
		l.counters.Int(defSent).Add(1)
	}
}

func (s *state) limited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate > 0
}

func (l *Limits) state(of traffic.Incarnation) *state {
	var found *state
	l.states.Update(of, func(s *state, ok bool) (*state, bool) {
		if !ok {
			s = &state{}
		}
		found = s
		return s, true
	})
	return found
}
