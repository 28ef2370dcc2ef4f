package demo

import (
	"fmt"

	"greengagespoke/domain"
)

// Models and paths of the demo's routes.
const (
	draftModel   = "drafting-models"
	noteModel    = "bouquet-llm"
	ledgerPath   = "/ledger/"
	dispatchPath = "/dispatch/"
)

// Names of the model pools.
const (
	draftPool = "drafting"
	notePool  = "bouquet"
)

// Calls of the demo's plain services that must run at most once.
const (
	closurePath  = ledgerPath + "closures"
	handoverPath = dispatchPath + "handovers"
)

const (
	demoZones        = 3
	decodeSlots      = 20
	decodePieces     = 400
	prefillRate      = 20_000
	linkBytesPerSec  = 10 << 30
	draftsMaxTokens  = 200
	notesMaxTokens   = 60
	retryPercent     = 20
	enginesPerRole   = 3
	servicesPerRoute = 2
)

func zone(i int) domain.Zone {
	return domain.Zone(fmt.Sprintf("demo-%d", i%demoZones+1))
}

// modelPool returns a pool of engines, dealt out to the zones.
func modelPool(name domain.PoolName, model string, slots int) domain.Pool {
	pool := domain.Pool{Name: name, Kind: domain.PoolModel, Model: model, Version: 1, ServingMinimum: 1}
	for i := range enginesPerRole {
		pool.Upstreams = append(pool.Upstreams,
			domain.Upstream{
				ID:          domain.UpstreamID(fmt.Sprintf("%s-prefill-%d", name, i+1)),
				Zone:        zone(i),
				Role:        domain.RolePrefill,
				PrefillRate: prefillRate,
				LinkRate:    linkBytesPerSec,
			},
			domain.Upstream{
				ID:       domain.UpstreamID(fmt.Sprintf("%s-decode-%d", name, i+1)),
				Zone:     zone(i),
				Role:     domain.RoleDecode,
				Slots:    slots,
				Pieces:   decodePieces,
				LinkRate: linkBytesPerSec,
			})
	}
	return pool
}

func servicePool(name domain.PoolName) domain.Pool {
	pool := domain.Pool{Name: name, Kind: domain.PoolService}
	for i := range servicesPerRoute {
		pool.Upstreams = append(pool.Upstreams, domain.Upstream{
			ID:   domain.UpstreamID(fmt.Sprintf("%s-%d", name, i+1)),
			Zone: zone(i),
			Role: domain.RoleService,
		})
	}
	return pool
}

// demoPools returns the pools table without addresses.
func demoPools(slots int) []domain.Pool {
	return []domain.Pool{
		modelPool(draftPool, draftModel, slots),
		modelPool(notePool, noteModel, slots),
		servicePool("ledger"),
		servicePool("dispatch"),
	}
}

// demoRoutes returns the routes table.
func demoRoutes() []domain.Route {
	return []domain.Route{
		{
			Name: "drafts", Pool: draftPool, Model: draftModel, Class: domain.ClassPatient,
			BetweenTokens: domain.Duration(betweenTokens), MaxOutputTokens: draftsMaxTokens,
			RetryPercent: retryPercent, MaxWaitingPerCaller: 100,
		},
		{
			Name: "notes", Pool: notePool, Model: noteModel, Class: domain.ClassInteractive,
			FirstToken: domain.Duration(firstToken), BetweenTokens: domain.Duration(betweenTokens),
			MaxOutputTokens: notesMaxTokens, RetryPercent: retryPercent, MaxWaitingPerCaller: 100,
		},
		{
			Name: "ledger", Pool: "ledger", PathPrefix: ledgerPath, Class: domain.ClassInteractive,
			Timeout: domain.Duration(serviceTimeout), RetryPercent: retryPercent,
			NonIdempotent: []string{"POST " + closurePath},
		},
		{
			Name: "dispatch", Pool: "dispatch", PathPrefix: dispatchPath, Class: domain.ClassInteractive,
			Timeout: domain.Duration(serviceTimeout), RetryPercent: retryPercent,
			NonIdempotent: []string{"POST " + handoverPath},
		},
	}
}
