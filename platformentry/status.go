package platformentry

import (
	"encoding/json"
	"net/http"

	"greengagespoke/catalog"
	"greengagespoke/dispatch"
	"greengagespoke/domain"
	"greengagespoke/internal/membudget"
	"greengagespoke/membership"
	"greengagespoke/quota"
)

const (
	// PathStatus is the path of the status on the metrics listener.
	PathStatus = "/status"
	// maxStatusCustomers bounds the customers of a status: about 150 KB of JSON.
	maxStatusCustomers = 200
)

// Status is what a host believes. It holds names of customers, and no keys.
type Status struct {
	Host    domain.HostID `json:"host"`
	Zone    domain.Zone   `json:"zone"`
	Leaving bool          `json:"leaving"`
	// InFlight is the number of callers' requests that the host serves.
	InFlight int64                    `json:"in_flight"`
	Config   catalog.Snapshot         `json:"config"`
	Members  membership.Snapshot      `json:"members"`
	Quotas   quota.Snapshot           `json:"quotas"`
	Levels   []dispatch.LevelSnapshot `json:"levels"`
	Memory   membudget.Snapshot       `json:"memory"`
}

// status returns what the host believes now.
func (d *Daemon) status() Status {
	return Status{
		Host: d.settings.Host, Zone: d.settings.Zone, Leaving: d.leaving.Load(), InFlight: d.inFlight.Load(),
		Config: d.catalog.Snapshot(), Members: d.members.Snapshot(), Quotas: d.quotas.Snapshot(maxStatusCustomers),
		Levels: d.gate.Levels(), Memory: d.memory.Snapshot(),
	}
}

// serveStatus answers with the status as JSON.
func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	if readsOnly(w, r) {
		writeJSON(w, d.status())
	}
}

// readsOnly reports whether a request only reads, and refuses it otherwise.
func readsOnly(w http.ResponseWriter, r *http.Request) bool {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return true
	}
	w.Header().Set("Allow", "GET, HEAD")
	http.Error(w, "this can only be read", http.StatusMethodNotAllowed)
	return false
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(value) // A client that has disconnected needs no error handling.
}
