package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Exporter is an engine that can transfer prefill results to engines in other
// processes.
type Exporter interface {
	// Export returns a prefill result in the engine's own encoding and frees it.
	Export(ctx context.Context, handle string) ([]byte, error)
}

// server implements the HTTP handlers for one engine.
type server struct {
	engine ports.Engine
}

// Handler serves an engine over HTTP. The export path is served only if the engine
// implements Exporter.
func Handler(engine ports.Engine) http.Handler {
	s := &server{engine: engine}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPrefill, s.prefill)
	mux.HandleFunc("POST "+pathImport, s.importResult)
	mux.HandleFunc("GET "+pathDecode, s.decode)
	mux.HandleFunc("POST "+pathCancel, s.cancel)
	mux.HandleFunc("GET "+pathAttempts, s.attempts)
	mux.HandleFunc("GET "+pathLoad, s.load)
	mux.HandleFunc("GET "+pathEvents, s.events)
	mux.HandleFunc("POST "+pathOrder, s.order)
	if exporter, ok := engine.(Exporter); ok {
		mux.HandleFunc("POST "+pathExport, exportHandler(exporter))
	}
	return mux
}

func (s *server) prefill(w http.ResponseWriter, r *http.Request) {
	var req ports.PrefillRequest
	if !readJSON(w, r, &req) {
		return
	}
	res, err := s.engine.Prefill(r.Context(), req)
	writeResponse(w, res, err)
}

func (s *server) importResult(w http.ResponseWriter, r *http.Request) {
	var req ports.ImportRequest
	if !readJSON(w, r, &req) {
		return
	}
	writeResponse(w, struct{}{}, s.engine.Import(r.Context(), req))
}

func (s *server) cancel(w http.ResponseWriter, r *http.Request) {
	var req cancelRequest
	if !readJSON(w, r, &req) {
		return
	}
	writeResponse(w, struct{}{}, s.engine.Cancel(r.Context(), req.ID))
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var req ports.Order
	if !readJSON(w, r, &req) {
		return
	}
	writeResponse(w, struct{}{}, s.engine.Order(r.Context(), req))
}

func (s *server) attempts(w http.ResponseWriter, r *http.Request) {
	list, err := s.engine.List(r.Context())
	writeResponse(w, list, err)
}

func (s *server) load(w http.ResponseWriter, r *http.Request) {
	load, err := s.engine.Load(r.Context())
	writeResponse(w, load, err)
}

func (s *server) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeInvalid(w, fmt.Sprintf("bad parameter after: %v", err))
		return
	}
	events, err := s.engine.CacheEvents(r.Context(), after)
	writeResponse(w, events, err)
}

func exportHandler(exporter Exporter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req exportRequest
		if !readJSON(w, r, &req) {
			return
		}
		data, err := exporter.Export(r.Context(), req.Handle)
		writeResponse(w, data, err)
	}
}

// decode streams the frames of an attempt as server-sent events.
func (s *server) decode(w http.ResponseWriter, r *http.Request) {
	id, after, err := parseDecodeParameters(r)
	if err != nil {
		writeInvalid(w, err.Error())
		return
	}
	stream, err := s.engine.Decode(r.Context(), id, after)
	if err != nil {
		writeResponse(w, struct{}{}, err)
		return
	}
	defer stream.Close()
	w.Header().Set("Content-Type", contentTypeEvents)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for flusher.Flush() == nil {
		if !writeNext(r.Context(), w, stream) {
			_ = flusher.Flush()
			return
		}
	}
}

// writeNext writes the next event. It returns false at the end of the stream or if
// the event could not be written.
func writeNext(ctx context.Context, w io.Writer, stream ports.FrameStream) bool {
	frame, err := stream.Next(ctx)
	if errors.Is(err, io.EOF) {
		_, _ = fmt.Fprintf(w, "event: %s\ndata: {}\n\n", eventEnd)
		return false
	}
	if err != nil {
		data, _ := json.Marshal(toWireError(err))
		_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", eventError, data)
		return false
	}
	data, err := json.Marshal(frame)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", frame.Number, data)
	return err == nil
}

// parseDecodeParameters returns the attempt in the query and the number of the
// last received frame in the Last-Event-ID header.
func parseDecodeParameters(r *http.Request) (domain.AttemptID, int, error) {
	query := r.URL.Query()
	attempt, err := strconv.Atoi(query.Get("attempt"))
	if err != nil {
		return domain.AttemptID{}, 0, fmt.Errorf("bad parameter attempt: %w", err)
	}
	id := domain.AttemptID{
		Caller:  domain.CallerID(query.Get("caller")),
		Request: domain.RequestID(query.Get("request")),
		Attempt: attempt,
	}
	last := r.Header.Get(headerLastEventID)
	if last == "" {
		return id, 0, nil
	}
	after, err := strconv.Atoi(last)
	if err != nil {
		return domain.AttemptID{}, 0, fmt.Errorf("bad header %s: %w", headerLastEventID, err)
	}
	return id, after, nil
}

func decodeQuery(id domain.AttemptID) string {
	return url.Values{
		"caller":  {string(id.Caller)},
		"request": {string(id.Request)},
		"attempt": {strconv.Itoa(id.Attempt)},
	}.Encode()
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(value); err != nil {
		writeInvalid(w, fmt.Sprintf("bad request body: %v", err))
		return false
	}
	return true
}

func writeInvalid(w http.ResponseWriter, message string) {
	writeResponse(w, struct{}{}, &ports.EngineError{Kind: ports.EngineInvalid, Message: message})
}

func writeResponse(w http.ResponseWriter, value any, err error) {
	status := http.StatusOK
	if err != nil {
		wire := toWireError(err)
		value = wire
		status = statusOfErrorKind[wire.Kind]
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
