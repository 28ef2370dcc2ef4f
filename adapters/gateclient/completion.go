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

// maxAttempts bounds the sends of one completion.
const maxAttempts = 4

// Event names and data of streamed answers.
const (
	eventError = "error"
	dataDone   = "[DONE]"
)

// Completion is a request for generated text.
type Completion struct {
	// ID names the request; a random one is chosen where it is empty.
	ID     domain.RequestID
	Model  string
	Prompt string
	// MaxTokens bounds the answer.
	MaxTokens int
	// Attempt is the number of the first send; 0 means 1. A larger one supersedes
	// an earlier send under the same ID.
	Attempt int
}

// completionBody is the body of POST /v1/completions.
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

// Outcome tells how a completion went.
type Outcome struct {
	ID domain.RequestID
	// Tokens is the number of the last frame.
	Tokens int
	// Attempts is the number of sends.
	Attempts int
	// Address is the host that ended the answer.
	Address string
}

// answer is what has arrived of a completion.
type answer struct {
	text   strings.Builder
	tokens int
}

// Complete sends a completion and calls onText with each part of the answer, in
// order and once. Where a connection breaks it goes on at the next address after
// the last part it has. Errors are *domain.Refusal, *UnreachableError or that of
// onText.
func (c *Client) Complete(ctx context.Context, req Completion, onText func(string) error) (Outcome, error) {
	if req.ID == "" {
		req.ID = domain.RequestID(rand.Text())
	}
	addresses, err := c.addresses(ctx)
	if err != nil {
		return Outcome{ID: req.ID}, err
	}
	got := new(answer)
	out := Outcome{ID: req.ID}
	for i := range maxAttempts {
		out.Address = addresses[i%len(addresses)]
		out.Attempts = i + 1
		err = c.completeAt(ctx, out.Address, req, i, got, onText)
		out.Tokens = got.tokens
		if err == nil || !mayGoOn(ctx, err) {
			return out, err
		}
	}
	return out, err
}

// mayGoOn reports whether another address may do better after an error.
func mayGoOn(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal.Kind == domain.RefusalLeaving
	}
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// completeAt sends one attempt to one host and reads its answer.
func (c *Client) completeAt(ctx context.Context, base string, req Completion, try int, got *answer, onText func(string) error) error {
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
	hreq.Header.Set(headerAttempt, strconv.Itoa(max(1, req.Attempt)+try))
	if got.tokens > 0 {
		hreq.Header.Set(headerLastEventID, strconv.Itoa(got.tokens))
	}
	resp, err := c.send(hreq)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		return refusalOf(resp, data)
	}
	return got.read(resp, onText)
}

// read takes the events of one attempt up to the end of the answer.
func (a *answer) read(resp *http.Response, onText func(string) error) error {
	events := newEventReader(resp.Body)
	for {
		e, err := events.next()
		if err != nil {
			return &UnreachableError{Address: resp.Request.URL.Host, Sent: true, Err: err}
		}
		switch {
		case e.name == eventError:
			return refusalOf(resp, e.data)
		case string(e.data) == dataDone:
			return nil
		}
		if err := a.add(e, onText); err != nil {
			return err
		}
	}
}

// add takes one frame. A frame that is there already is left out.
func (a *answer) add(e event, onText func(string) error) error {
	var chunk chunkBody
	if err := json.Unmarshal(e.data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return errBadEvent
	}
	if e.id <= a.tokens {
		return nil
	}
	a.tokens = e.id
	a.text.WriteString(chunk.Choices[0].Text)
	return onText(chunk.Choices[0].Text)
}
