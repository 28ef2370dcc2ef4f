package gatehttp

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"greengagespoke/domain"
)

// Headers of model requests.
const (
	// HeaderRequestID identifies the request; a resend carries the same ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderRequestAttempt is the attempt number: 1 for the first send and larger
	// for a resend.
	HeaderRequestAttempt = "X-Request-Attempt"
	// HeaderLastEventID is the number of the last frame that the caller received.
	HeaderLastEventID = "Last-Event-ID"
)

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Received is the text that the caller received from an earlier attempt; the
	// response continues after it.
	Received string `json:"received"`
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Received  string        `json:"received"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *server) completions(w http.ResponseWriter, r *http.Request, caller domain.CallerID) {
	var body completionRequest
	if err := decodeBody(r, &body); err != nil {
		writeError(w, err)
		return
	}
	s.complete(w, r, caller, body, completionFormat)
}

func (s *server) chatCompletions(w http.ResponseWriter, r *http.Request, caller domain.CallerID) {
	var body chatRequest
	if err := decodeBody(r, &body); err != nil {
		writeError(w, err)
		return
	}
	s.complete(w, r, caller, completionRequest{
		Model:     body.Model,
		Prompt:    chatPrompt(body.Messages),
		MaxTokens: body.MaxTokens,
		Stream:    body.Stream,
		Received:  body.Received,
	}, chatFormat)
}

// chatPrompt joins the messages of a chat into one prompt.
func chatPrompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func decodeBody(r *http.Request, into any) error {
	if r.Method != http.MethodPost {
		return domain.Refuse(domain.RefusalBadRequest, "method "+r.Method+" is not served here", "use POST")
	}
	err := json.NewDecoder(r.Body).Decode(into)
	if err == nil {
		return nil
	}
	if refusal := asRefusal(err); refusal.Kind == domain.RefusalTooLarge {
		return refusal
	}
	return domain.Refuse(domain.RefusalBadRequest, "the body is not valid JSON: "+err.Error(), "send a JSON object as docs/API.md describes")
}

// complete runs a model request and writes its response in the requested format,
// streamed or as one object.
func (s *server) complete(w http.ResponseWriter, r *http.Request, caller domain.CallerID, body completionRequest, format responseFormat) {
	c, err := completionOf(r, caller, body)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(HeaderRequestID, string(c.Request))
	if body.Stream {
		s.writeStream(w, r, c, format)
		return
	}
	s.writeComplete(w, r, c, format)
}

// completionOf validates a request and its headers and returns the completion to
// run.
func completionOf(r *http.Request, caller domain.CallerID, body completionRequest) (*domain.Completion, error) {
	if body.Model == "" || body.Prompt == "" {
		return nil, domain.Refuse(domain.RefusalBadRequest, "model or prompt is missing", "send both")
	}
	attempt, err := positiveIntHeader(r, HeaderRequestAttempt, 1)
	if err != nil {
		return nil, err
	}
	delivered, err := positiveIntHeader(r, HeaderLastEventID, 0)
	if err != nil {
		return nil, err
	}
	if (delivered > 0) != (body.Received != "") {
		return nil, domain.Refuse(domain.RefusalBadRequest, "a continued answer needs both "+HeaderLastEventID+" and the received text",
			"send the number of the last event and its text so far in \"received\", or neither")
	}
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		id = rand.Text()
	}
	return &domain.Completion{
		Caller:          caller,
		Request:         domain.RequestID(id),
		Attempt:         attempt,
		Model:           body.Model,
		Prompt:          body.Prompt,
		MaxTokens:       body.MaxTokens,
		DeliveredTokens: delivered,
		Delivered:       body.Received,
	}, nil
}

func positiveIntHeader(r *http.Request, name string, defaultValue int) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return 0, domain.Refuse(domain.RefusalBadRequest, "header "+name+" is not a positive number", "send a number of at least 1")
	}
	return n, nil
}

// writeComplete collects the frames of a response and writes it as one JSON object.
func (s *server) writeComplete(w http.ResponseWriter, r *http.Request, c *domain.Completion, format responseFormat) {
	var text strings.Builder
	tokens := 0
	err := s.cfg.Gate.Complete(r.Context(), c, func(f domain.Frame) error {
		text.WriteString(f.Text)
		tokens = f.Number
		return r.Context().Err()
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, format.completeBody(c, text.String(), tokens, time.Now()))
}
