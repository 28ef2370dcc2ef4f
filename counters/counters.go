// Package counters provides the expvar counters of one entry host. Several hosts
// can run in one process, each with its own set, as in the demo and in tests.
//
// Packages define their counters once at package level with Define, so that the
// operators' reference can be checked against the catalogue.
package counters

import (
	"expvar"
	"fmt"
	"sort"
	"sync"
)

// Def is the definition of a counter: its name and what it counts.
type Def struct {
	// Name is in snake case and starts with the name of the defining package.
	Name string
	Help string
}

var (
	catalogueMu sync.Mutex
	catalogue   = make(map[string]Def)
)

// Define adds a counter to the catalogue. It panics where the name is taken, as
// that is a programming error.
func Define(name, help string) Def {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if _, taken := catalogue[name]; taken {
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

// Set holds the counters of one host. It implements expvar.Var.
type Set struct {
	mu   sync.Mutex
	vars expvar.Map
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{}
}

// Int returns the set's counter for a definition and creates it on first use.
// Callers keep the result, as the lookup takes a lock.
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

// String returns the counters as a JSON object.
func (s *Set) String() string {
	return s.vars.String()
}
