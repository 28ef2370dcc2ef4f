package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"greengagespoke/adapters/enginehttp"
	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/adapters/platformhttp"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/standin/engine"
	"greengagespoke/standin/platform"
)

// Sizes of the large deployment.
const (
	entryHosts    = 340
	workers       = 1800
	models        = 12
	runningOnFull = 20
)

func upstream(i int) domain.Upstream {
	return domain.Upstream{
		ID: domain.UpstreamID(fmt.Sprintf("drafting-decode-%04d", i)), Zone: "dakar-1", Address: fmt.Sprintf("10.20.%d.%d:8000", i/250, i%250),
		Role: domain.RoleDecode, Slots: 20, Pieces: 400, PrefillRate: 20_000, LinkRate: 10 << 30,
	}
}

// BenchmarkHostList measures one answer of the host list.
func BenchmarkHostList(b *testing.B) {
	p := platform.New(platform.Config{})
	for i := range entryHosts {
		p.SetHost(ports.ListedHost{
			Name: fmt.Sprintf("entry-%03d", i), Zone: "dakar-1",
			PeerAddress: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), CallerAddress: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
		})
	}
	for i := range workers {
		p.SetHost(ports.ListedHost{Name: string(upstream(i).ID), Zone: "dakar-1"})
	}
	handler := platformhttp.Handler(p)
	size := 0
	for b.Loop() {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest("GET", platformhttp.PathHosts, nil))
		size = w.Body.Len()
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(size)/(entryHosts+workers), "bytes/entry")
}

// BenchmarkEngineListing measures one listing of a full decode engine.
func BenchmarkEngineListing(b *testing.B) {
	e := engine.New(engine.Config{Upstream: upstream(1), StepBase: time.Hour})
	defer e.Close()
	running := make([]ports.Running, runningOnFull)
	for i := range running {
		running[i] = ports.Running{
			ID:     domain.AttemptID{Caller: "firm-00042", Request: domain.RequestID(fmt.Sprintf("request-%020d", i)), Attempt: 1000},
			Holder: "entry-001", Pieces: 12, Role: domain.RoleDecode, Emitted: 120,
		}
	}
	handler := enginehttp.Handler(listed{Engine: e, running: running})
	size := 0
	for b.Loop() {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest("GET", "/v1/attempts", nil))
		size = w.Body.Len()
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(size)/runningOnFull, "bytes/attempt")
}

// listed is an engine with a fixed listing.
type listed struct {
	ports.Engine
	running []ports.Running
}

// BenchmarkPoolChange measures the delta of an edit of one pool of the large
// deployment.
func BenchmarkPoolChange(b *testing.B) {
	pool := domain.Pool{Name: "drafting", Kind: domain.PoolModel, Model: "drafting-models", Version: 1}
	for i := range workers / models {
		pool.Upstreams = append(pool.Upstreams, upstream(i))
	}
	size := 0
	for b.Loop() {
		row, err := json.Marshal(pool)
		if err != nil {
			b.Fatal(err)
		}
		size = proto.Size(&peerpb.Change{Revision: 1, EditId: "edit", Table: "pools", Row: "drafting", Editor: "operator", Before: row, After: row})
	}
	b.ReportMetric(float64(size), "bytes/change")
}

// BenchmarkRequestSignalling measures the messages between a gate and a keeper
// for one request with a prompt of 1,000 tokens, without HTTP headers.
func BenchmarkRequestSignalling(b *testing.B) {
	id := &peerpb.AttemptID{Caller: "firm-00042", Request: "request-00000000000000000001", Attempt: 1000}
	place := &peerpb.AcquireRequest{Group: "drafting/dakar/0", Place: &peerpb.PlaceRequest{
		Id: id, Holder: "entry-001", HolderZone: "dakar-1", Pool: "drafting", Route: "drafts", Class: "patient", Weight: 1,
		PromptTokens: 1000, OutputTokens: 400, WaitedNs: 1e6, MaxWaiting: 100, Fingerprint: 1 << 60,
	}}
	grant := &peerpb.Grant{
		Id: "01234567890123456789", Request: id, Holder: "entry-001", Pool: "drafting", Decode: "drafting-decode-0001",
		Prefill: "drafting-prefill-0001", Pieces: 2, ExpectedTokens: 313, TermNs: 6e9, Fingerprint: 1 << 60,
	}
	acquire, renew, release := 0, 0, 0
	for b.Loop() {
		acquire = proto.Size(place) + proto.Size(&peerpb.AcquireResponse{Outcome: &peerpb.AcquireResponse_Grant{Grant: grant}})
		renew = proto.Size(&peerpb.RenewRequest{Grants: []*peerpb.Grant{grant}})
		release = proto.Size(&peerpb.ReleaseRequest{Releases: []*peerpb.Release{{Grant: grant, Reason: "done", OutputTokens: 313}}})
	}
	b.ReportMetric(float64(acquire), "acquire-bytes")
	b.ReportMetric(float64(renew), "renew-bytes/grant")
	b.ReportMetric(float64(release), "release-bytes")
}

// List implements ports.Engine.
func (l listed) List(context.Context) ([]ports.Running, error) { return l.running, nil }
