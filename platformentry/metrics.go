package platformentry

import (
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"greengagespoke/counters"
)

// newMetricsServer returns the listener that serves the counters as JSON.
func newMetricsServer(address string, counterSet *counters.Set) *khttp.Server {
	return khttp.NewServer(khttp.Address(address), khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write([]byte(counterSet.String())) // A client that has disconnected needs no error handling.
			})
		}))
}
