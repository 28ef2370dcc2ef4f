package gatehttp

import (
	"io"
	"net/http"

	"greengagespoke/domain"
	"greengagespoke/entrypoints"
	"greengagespoke/tables"
)

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !s.cfg.Ready():
		http.Error(w, "no tables yet", http.StatusServiceUnavailable)
	case s.leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (s *server) leaving() bool {
	return s.cfg.Membership.Self().State == domain.MemberLeaving
}

func (s *server) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, s.cfg.Counters.String())
}

// Status is the body of GET /v1/status.
type Status struct {
	Host     domain.HostID   `json:"host"`
	Zone     domain.Zone     `json:"zone"`
	Revision domain.Revision `json:"revision"`
	Ready    bool            `json:"ready"`
	Leaving  bool            `json:"leaving"`
	InFlight int             `json:"in_flight"`
	// Unreadable lists table rows that could not be decoded. Their last valid value
	// stays in use.
	Unreadable []tables.UnreadableRow `json:"unreadable,omitempty"`
	Members    []domain.Member        `json:"members"`
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	self := s.cfg.Membership.Self()
	writeJSON(w, http.StatusOK, Status{
		Host:       self.ID,
		Zone:       self.Zone,
		Revision:   s.cfg.Tables.Revision(),
		Ready:      s.cfg.Ready(),
		Leaving:    s.leaving(),
		InFlight:   s.cfg.Gate.InFlight(),
		Unreadable: s.cfg.Unreadable(),
		Members:    s.cfg.Membership.Members(),
	})
}

// entryPoints returns the addresses that the caller should use. The zone defaults
// to the zone of this host.
func (s *server) entryPoints(w http.ResponseWriter, r *http.Request) {
	zone := domain.Zone(r.URL.Query().Get("zone"))
	if zone == "" {
		zone = s.cfg.Membership.Self().Zone
	}
	writeJSON(w, http.StatusOK, s.cfg.EntryPoints(entrypoints.Request{
		Zone:       zone,
		CallerHint: r.URL.Query().Get("caller"),
	}))
}
