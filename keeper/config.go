package keeper

import (
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/groups"
	"greengagespoke/ports"
)

const (
	// grantTerm is how long a grant lasts without renewal.
	grantTerm = 6 * time.Second
	// pollTime bounds one Acquire call; a request that still waits is called
	// again by its gate.
	pollTime = 5 * time.Second
	// lingerTime is how long a waiting request keeps its position after its
	// gate's last call ended.
	lingerTime = 3 * time.Second
	// sweepInterval is the time between checks for expired grants, abandoned
	// waiting requests and groups that moved to another host.
	sweepInterval = 500 * time.Millisecond
	// ownerCacheTime is how long the owner of a group is remembered before it is
	// computed again from the membership view.
	ownerCacheTime = 100 * time.Millisecond
	// crossZoneDelay is the one-way delay assumed between availability zones.
	crossZoneDelay = 5 * time.Millisecond
	// passedBound is the number of requests that may be served before one that
	// does not fit, until a decode upstream is reserved for it.
	passedBound = 32
)

// GatePeers gives access to the gates of other hosts. ports.Peers implements it.
type GatePeers interface {
	GatePeer(host domain.HostID) ports.GatePeer
}

// Quarantine knows the requests that crash upstreams. *quarantine.List
// implements it.
type Quarantine interface {
	// Check returns a refusal for a request that may not run now, or nil.
	Check(fingerprint uint64) *domain.Refusal
	// Suspect returns whether an upstream crashed while it ran the request.
	Suspect(fingerprint uint64) bool
	// Strikes returns the upstreams that crashed while they ran the request.
	Strikes(fingerprint uint64) []domain.UpstreamID
	// Crashed adds a strike to all requests that ran on a crashed upstream.
	Crashed(upstream domain.UpstreamID, fingerprints []uint64)
}

// Config holds what a keeper needs.
type Config struct {
	// Self and Zone are the identifier and the availability zone of this host.
	Self       domain.HostID
	Zone       domain.Zone
	Tables     ports.TableView
	Membership ports.Membership
	Upstreams  ports.Upstreams
	// HostList shows upstreams that are leaving. It may be nil.
	HostList ports.HostList
	Counters *counters.Set
	// Policy decides when places are promised; nil means JustInTime.
	Policy Policy
	// GatePeers lets a gate end an attempt that a newer one replaces, and cancel
	// at an engine that this host cannot reach. It may be nil: then attempts are
	// canceled on their engines only, by this host.
	GatePeers GatePeers
	// Quarantine is told of crashes and asked about requests. It may be nil.
	Quarantine Quarantine
	// Scope says which upstreams share a group; empty means ScopeRegion.
	Scope groups.Scope
	// PatientShare is the part of the service that waiting patient requests
	// receive at least; zero means fairqueue.DefaultPatientShare.
	PatientShare float64
}
