package platformentry

import (
	"net/http"

	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"greengagespoke/counters"
)

// kratosServer is a listener of the framework.
type kratosServer = transport.Server

// metricsServer returns the listener that shows the counters.
func metricsServer(address string, set *counters.Set) kratosServer {
	return khttp.NewServer(khttp.Address(address), khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write([]byte(set.String())) // A reader who has left needs nothing more.
			})
		}))
}
