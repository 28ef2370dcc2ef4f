package platformentry_test

import (
	"fmt"
	"testing"
	"time"

	"greengagespoke/platform/platformtest"
)

const (
	// endlessStore is how long the store's responses do not end while a fleet starts.
	endlessStore = 3 * time.Second
	// maxStoreResponse bounds the bytes that a host and its connection accept of one response. A
	// range holds at most 1 MB.
	maxStoreResponse = 8 << 20
	// startTime is the time in which hosts serve once the store answers properly.
	startTime = 5 * time.Second
)

// Hosts that start while the store's responses do not end must not read them into memory, and must
// serve once it is sound again.
func TestFleetStartsWhileTheStoreAnswersWithoutEnd(t *testing.T) {
	playTrial(t, func(t *testing.T) {
		d := newVirtualDeployment(t)
		for _, w := range []*platformtest.Worker{
			d.newWorker("led", "ledger", "z-a", ""), d.newWorker("dec", "models", "z-a", "decode"), d.newWorker("pre", "models", "z-a", "prefill"),
		} {
			d.workers[w.ID] = w
			w.Register(d.store, "ready")
			t.Cleanup(w.Close)
		}
		d.store.SetMode(platformtest.StoreEndless)
		for i := range 3 {
			d.startHost(fmt.Sprint("host-", i), []string{"z-a", "z-b"}[i%2])
		}
		time.Sleep(endlessStore)
		for _, h := range d.hosts {
			if got := d.send(h, "POST", "/filing/x", nil); got.status != 503 || got.err != nil {
				t.Errorf("without a configuration: status %d, %v; want 503", got.status, got.err)
			}
		}
		d.store.SetMode(platformtest.StoreUp)
		sound := time.Now()
		for _, h := range d.hosts {
			d.waitFor("calls and streams served", func() bool {
				return d.send(h, "POST", "/filing/x", nil).status == 200 && d.send(h, "POST", "/draft/x", nil).status == 200
			})
		}
		if took := time.Since(sound); took > startTime {
			t.Errorf("served %s after the store was sound, want within %s", took, startTime)
		}
		longest := d.store.LongestAccepted()
		t.Logf("at most %d bytes of a response accepted", longest)
		if longest == 0 || longest > maxStoreResponse {
			t.Errorf("%d bytes of a response accepted, want some, and at most %d", longest, maxStoreResponse)
		}
	})
}
