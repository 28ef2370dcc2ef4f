package gateclient

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"greengagespoke/domain"
)

// maxAttempts bounds the number of times that one completion is sent.
const maxAttempts = 4

// Event name and data of a streamed response that have a special meaning.
const (
	eventError = "error"
	dataDone   = "[DONE]"
)

// Completion is a request for generated text.
type Completion struct {
	// ID identifies the request; if empty, a random one is generated.
	ID     domain.RequestID
	Model  string
	Prompt string
	// MaxTokens bounds the length of the response, in tokens.
	MaxTokens int
	// Attempt is the attempt number of the first send; 0 means 1. A larger number
	// supersedes earlier attempts with the same ID.
	Attempt int
}

// completionBody is the request body of POST /v1/completions.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	Received  string `json:"received,omitempty"`
}

// chunkBody is the data of one event.
type chunkBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Outcome describes the result of a completion.
type Outcome struct {
	ID domain.RequestID
	// Tokens is the number of the last received frame.
	Tokens int
	// Attempts is the number of times that the request was sent.
	Attempts int
	// Address is the base URL of the host that received the last attempt.
	Address string
}

// partialAnswer is the part of a completion that has been received so far.
type partialAnswer struct {
	text   strings.Builder
	tokens int
}

// Complete sends a completion and calls onText with each part of the response, in
// order and exactly once. If a connection breaks or the host is leaving, it resumes
// at the next address after the last received part. Errors are *domain.Refusal,
// *UnreachableError or the error of onText.
func (c *Client) Complete(ctx context.Context, req Completion, onText func(string) error) (Outcome, error) {
	if req.ID == "" {
		req.ID = domain.RequestID(rand.Text())
	}
	addresses, err := c.addresses(ctx)
	if err != nil {
		return Outcome{ID: req.ID}, err
	}
	got := new(partialAnswer)
	out := Outcome{ID: req.ID}
	for i := range maxAttempts {
		out.Address = addresses[i%len(addresses)]
		out.Attempts = i + 1
		err = c.sendAttempt(ctx, out.Address, req, i, got, onText)
		out.Tokens = got.tokens
		if err == nil || !shouldTryNextAddress(ctx, err) {
			return out, err
		}
	}
	return out, err
}

// shouldTryNextAddress reports whether an attempt at another address may succeed
// after an error: the host was unreachable or is leaving.
func shouldTryNextAddress(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal.Kind == domain.RefusalLeaving
	}
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// sendAttempt sends one attempt to one host and reads the response.
func (c *Client) sendAttempt(ctx context.Context, base string, req Completion, attemptIndex int, got *partialAnswer, onText func(string) error) error {
	body, err := json.Marshal(completionBody{
		Model: req.Model, Prompt: req.Prompt, MaxTokens: req.MaxTokens, Stream: true, Received: got.text.String(),
	})
	if err != nil {
		return err
	}
	hreq, err := c.request(ctx, http.MethodPost, base, "/v1/completions", body)
	if err != nil {
		return err
	}
	hreq.Header.Set("Content-Type", "application/json")
	hreq.Header.Set(headerRequestID, string(req.ID))
	hreq.Header.Set(headerAttempt, strconv.Itoa(max(1, req.Attempt)+attemptIndex))
	if got.tokens > 0 {
		hreq.Header.Set(headerLastEventID, strconv.Itoa(got.tokens))
	}
	resp, err := c.send(hreq)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			return &UnreachableError{Address: resp.Request.URL.Host, Sent: true, Err: err}
		}
		return refusalFromResponse(resp, data)
	}
	return got.read(resp, onText)
}

// read consumes the events of one attempt until the response is complete.
func (a *partialAnswer) read(resp *http.Response, onText func(string) error) error {
	events := newEventReader(resp.Body)
	for {
		e, err := events.next()
		if err != nil {
			return &UnreachableError{Address: resp.Request.URL.Host, Sent: true, Err: err}
		}
		switch {
		case e.name == eventError:
			return refusalFromResponse(resp, e.data)
		case string(e.data) == dataDone:
			return nil
		}
		if err := a.add(e, onText); err != nil {
			return err
		}
	}
}

// add appends one frame. It ignores a frame that it already has.
func (a *partialAnswer) add(e event, onText func(string) error) error {
	var chunk chunkBody
	if err := json.Unmarshal(e.data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return errMalformedEvent
	}
	if e.id <= a.tokens {
		return nil
	}
	a.tokens = e.id
	a.text.WriteString(chunk.Choices[0].Text)
	return onText(chunk.Choices[0].Text)
}
