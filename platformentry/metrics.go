package platformentry

import (
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"greengagespoke/counters"
)

// newMetricsServer returns the listener that serves pages at their paths, and the counters as JSON at
// all other paths.
func newMetricsServer(address string, counterSet *counters.Set, pages map[string]http.HandlerFunc) *khttp.Server {
	return khttp.NewServer(khttp.Address(address), khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if page, ok := pages[r.URL.Path]; ok {
					page(w, r)
					return
				}
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write([]byte(counterSet.String())) // A client that has disconnected needs no error handling.
			})
		}))
}
