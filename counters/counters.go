// Package counters provides the expvar counters and latency histograms of an entry
// host. Several hosts can run in one process, as in the demo and in tests, so each
// host has its own Set instead of the global expvar registry.
//
// Packages define their counters once, at package level with Define. The
// resulting catalogue makes it possible to check the operators' reference for
// missing counters.
package counters

import (
	"expvar"
	"fmt"
	"sort"
	"sync"
)

// Def is the definition of a counter or histogram.
type Def struct {
	// Name is in snake case and starts with the name of the defining package.
	Name string
	// Help describes what is counted.
	Help string
}

var (
	catalogueMu sync.Mutex
	catalogue   = make(map[string]Def)
)

// Define adds a counter to the catalogue. It panics if the name is already
// defined, because that is a programming error.
func Define(name, help string) Def {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if _, defined := catalogue[name]; defined {
		panic(fmt.Sprintf("counter %q is defined twice; choose another name", name))
	}
	def := Def{Name: name, Help: help}
	catalogue[name] = def
	return def
}

// Catalogue returns all definitions, sorted by name.
func Catalogue() []Def {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	defs := make([]Def, 0, len(catalogue))
	for _, def := range catalogue {
		defs = append(defs, def)
	}
	sort.Slice(defs, func(i, j int) bool { return defs[i].Name < defs[j].Name })
	return defs
}

// Set holds the counters and histograms of one host. It implements expvar.Var and
// is safe for concurrent use.
type Set struct {
	mu   sync.Mutex
	vars expvar.Map
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{}
}

// Int returns the counter for a definition and creates it on first use. Callers
// should keep the result, because each lookup takes a lock.
func (s *Set) Int(def Def) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.vars.Get(def.Name).(*expvar.Int); ok {
		return v
	}
	v := new(expvar.Int)
	s.vars.Set(def.Name, v)
	return v
}

// String returns the counters and histograms as a JSON object keyed by name.
func (s *Set) String() string {
	return s.vars.String()
}
