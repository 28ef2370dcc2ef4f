package keeper

import (
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/groups"
	"greengagespoke/ports"
)

const (
	// grantTerm is the time after which a grant expires unless it is renewed.
	grantTerm = 6 * time.Second
	// acquireTimeout bounds one Acquire call. The gate of a request that still
	// waits calls again.
	acquireTimeout = 5 * time.Second
	// waiterTTL is how long a waiting request keeps its queue position after the
	// last call of its gate ended.
	waiterTTL = 3 * time.Second
	// sweepInterval is the time between checks for expired grants, abandoned
	// waiting requests and groups that moved to another host.
	sweepInterval = 500 * time.Millisecond
	// ownerCacheTTL is how long a check of a group's owner stays valid before the
	// owner is computed again from the membership view.
	ownerCacheTTL = 100 * time.Millisecond
	// crossZoneDelay is the assumed one-way network latency between availability
	// zones.
	crossZoneDelay = 5 * time.Millisecond
	// maxPassedOver is the number of requests that may be served ahead of a request
	// that does not fit. After that, a decode upstream is reserved for it.
	maxPassedOver = 32
)

// GatePeers returns clients for the gates of other hosts. ports.Peers implements
// it.
type GatePeers interface {
	GatePeer(host domain.HostID) ports.GatePeer
}

// Quarantine tracks the requests that crash upstreams. *quarantine.List
// implements it.
type Quarantine interface {
	// Check returns the refusal of a quarantined request, or nil if the request may
	// run.
	Check(request uint64, parts ...uint64) *domain.Refusal
	// Suspect returns whether an upstream crashed while it ran the request.
	Suspect(fingerprint uint64) bool
	// CrashedUpstreams returns the upstreams that crashed while they ran the request.
	CrashedUpstreams(fingerprint uint64) []domain.UpstreamID
	// RecordCrash adds a strike to all requests that were running on a crashed
	// upstream.
	RecordCrash(upstream domain.UpstreamID, requests []uint64, parts ...uint64)
}

// Config holds the dependencies and settings of a keeper.
type Config struct {
	// Self and Zone are the identifier and the availability zone of this host.
	Self       domain.HostID
	Zone       domain.Zone
	Tables     ports.TableView
	Membership ports.Membership
	Upstreams  ports.Upstreams
	// HostList marks the upstreams that are leaving. It may be nil.
	HostList ports.HostList
	Counters *counters.Set
	// Policy decides which slots may be granted before they are free; nil means
	// JustInTime.
	Policy Policy
	// GatePeers is used to tell a gate that a newer attempt replaced its attempt,
	// and to cancel attempts on engines that this host cannot reach. If it is nil,
	// attempts are only canceled directly on their engines.
	GatePeers GatePeers
	// Quarantine receives the crashes and is asked whether a request may run. It
	// may be nil.
	Quarantine Quarantine
	// Scope defines which upstreams share a group; empty means ScopeRegion.
	Scope groups.Scope
	// PatientShare is the minimum share of the service that waiting patient
	// requests receive; zero means fairqueue.DefaultPatientShare.
	PatientShare float64
}
