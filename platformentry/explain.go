package platformentry

import (
	"net/http"
	"strings"
	"time"

	"greengagespoke/platform/wire"
	"greengagespoke/traffic"
)

const (
	// PathExplain is the path on the metrics listener at which it is asked where a request would go.
	PathExplain = "/explain"
	// ParamHost and ParamPath are the query parameters for the host name and the path of the request.
	// Its key and token count are in the headers in which callers send them.
	ParamHost = "host"
	ParamPath = "path"
)

// serveExplain answers with what dispatch.Gate.Explain says of a request as JSON.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	if !readsOnly(w, r) {
		return
	}
	query := r.URL.Query()
	path, _, _ := strings.Cut(query.Get(ParamPath), "?")
	if query.Get(ParamHost) == "" || !strings.HasPrefix(path, "/") {
		http.Error(w, "the host name or the path of the request is missing", http.StatusBadRequest)
		return
	}
	prompt, output := wire.Tokens(r.Header)
	writeJSON(w, d.gate.Explain(&traffic.Request{
		Host: query.Get(ParamHost), Path: path, Arrived: time.Now(), PromptTokens: prompt, MaxOutput: output,
		Credential: traffic.NewCredential(wire.Key(r.Header)),
	}))
}
