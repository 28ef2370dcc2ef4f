package platformhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/ports"
)

// Path and limit of requests to Handler.
const (
	// PathHosts is the path of the host list.
	PathHosts = "/hosts"
	// maxRequestBytes bounds the body of one request.
	maxRequestBytes = 16 << 20
)

// Platform provides the services that Handler serves.
type Platform interface {
	Tables() ports.TableService
	Objects() ports.ObjectStore
	Hosts() ports.HostList
}

// Handler serves a platform in the formats that Client speaks. If an operation
// returns ports.ErrStoreUnknown, the handler aborts the connection, so that the
// client sees a lost response.
func Handler(p Platform) http.Handler {
	s := &server{p: p}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathRange, s.rangeRows)
	mux.HandleFunc("POST "+pathTxn, s.txn)
	mux.HandleFunc("GET "+PathHosts, s.hosts)
	mux.HandleFunc("PUT /{bucket}/{key...}", s.putObject)
	mux.HandleFunc("GET /{bucket}/{key...}", s.getObject)
	return mux
}

type server struct{ p Platform }

func (s *server) rangeRows(w http.ResponseWriter, r *http.Request) {
	var req rangeRequest
	if !readJSON(w, r, &req) {
		return
	}
	var resp rangeResponse
	rows, err := s.read(r, req)
	if err != nil {
		writeError(w, err)
		return
	}
	for _, row := range rows {
		resp.Kvs = append(resp.Kvs, keyValue{Key: []byte(row.Key), Value: row.Value, ModRevision: row.Version})
	}
	resp.Count = int64(len(rows))
	writeJSON(w, http.StatusOK, resp)
}

func (s *server) read(r *http.Request, req rangeRequest) ([]ports.Row, error) {
	if len(req.RangeEnd) > 0 {
		return s.p.Tables().Scan(r.Context(), string(req.Key), string(req.RangeEnd), int(req.Limit))
	}
	row, ok, err := s.p.Tables().Get(r.Context(), string(req.Key))
	if err != nil || !ok {
		return nil, err
	}
	return []ports.Row{row}, nil
}

func (s *server) txn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	if !readJSON(w, r, &req) {
		return
	}
	txn, ok := decodeTxn(req)
	if !ok {
		writeJSON(w, http.StatusBadRequest, gatewayStatus{Code: codeInvalidArgument, Message: "compare on the mod revision only; put and delete only"})
		return
	}
	result, err := s.p.Tables().Commit(r.Context(), txn)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, txnResponse{Header: header{Revision: result.Version}, Succeeded: result.Applied})
}

func decodeTxn(req txnRequest) (ports.Txn, bool) {
	var txn ports.Txn
	for _, c := range req.Compare {
		if c.Target != compareTargetMod || c.Result != compareEqual {
			return txn, false
		}
		txn.If = append(txn.If, ports.Condition{Key: string(c.Key), Version: c.ModRevision})
	}
	for _, op := range req.Success {
		switch {
		case op.Put != nil:
			txn.Then = append(txn.Then, ports.Write{Key: string(op.Put.Key), Value: op.Put.Value})
		case op.Delete != nil:
			txn.Then = append(txn.Then, ports.Write{Key: string(op.Delete.Key), Delete: true})
		default:
			return txn, false
		}
	}
	return txn, true
}

func (s *server) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, gatewayStatus{Code: codeInvalidArgument, Message: err.Error()})
		return
	}
	if err := s.p.Objects().Put(r.Context(), r.PathValue("key"), value); err != nil {
		writeError(w, err)
	}
}

func (s *server) getObject(w http.ResponseWriter, r *http.Request) {
	value, err := s.p.Objects().Get(r.Context(), r.PathValue("key"))
	if errors.Is(err, ports.ErrNoObject) {
		http.Error(w, "NoSuchKey", http.StatusNotFound)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", binaryContentType)
	_, _ = w.Write(value)
}

func (s *server) hosts(w http.ResponseWriter, r *http.Request) {
	listed, err := s.p.Hosts().Hosts(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	groups := make([]targetGroup, 0, len(listed))
	for _, host := range listed {
		groups = append(groups, encodeHost(host))
	}
	body, err := json.Marshal(groups)
	if err != nil {
		writeError(w, err)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func encodeHost(host ports.ListedHost) targetGroup {
	state := stateLive
	if host.Leaving {
		state = stateLeaving
	}
	target := host.PeerAddress
	if target == "" {
		target = host.Name
	}
	labels := map[string]string{labelName: host.Name, labelZone: string(host.Zone), labelState: state}
	if host.PeerAddress != "" {
		labels[labelPeerAddress] = host.PeerAddress
	}
	if host.CallerAddress != "" {
		labels[labelCallerAddress] = host.CallerAddress
	}
	return targetGroup{Targets: []string{target}, Labels: labels}
}

// readJSON decodes the request body. If that fails, it responds with status 400 and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, gatewayStatus{Code: codeInvalidArgument, Message: strings.TrimSpace(err.Error())})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", jsonContentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError responds with the status of an error. For ports.ErrStoreUnknown it
// aborts the connection, which the client sees as a lost response.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ports.ErrStoreThrottled):
		writeJSON(w, http.StatusTooManyRequests, gatewayStatus{Code: codeResourceExhausted, Message: messageTooManyRequests})
	case errors.Is(err, ports.ErrStoreDown):
		writeJSON(w, http.StatusServiceUnavailable, gatewayStatus{Code: codeUnavailable, Message: messageNoLeader})
	case errors.Is(err, ports.ErrStoreUnknown):
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusBadRequest, gatewayStatus{Code: codeInvalidArgument, Message: err.Error()})
	}
}
