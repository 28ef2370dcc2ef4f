package gateclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"greengagespoke/domain"
)

// Call is a call to a plain service.
type Call struct {
	Method string
	// Path is the path with the query, if any.
	Path string
	Body []byte
	// ContentType is the type of the body; empty leaves the header out.
	ContentType string
	// IdempotencyKey names a non-idempotent call; a resend carries the same key.
	IdempotencyKey string
	// Attempt is the number of the first send; 0 means 1. A caller that has sent
	// the call before states a larger one.
	Attempt int
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Address is the host that answered.
	Address string
}

// CallService sends a call. It tries the next address where the call did not
// reach a host, and also after a lost answer where a repetition is harmless.
// Errors are *domain.Refusal or *UnreachableError.
func (c *Client) CallService(ctx context.Context, call Call) (Answer, error) {
	addresses, err := c.addresses(ctx)
	if err != nil {
		return Answer{}, err
	}
	call.Attempt = max(1, call.Attempt)
	var answer Answer
	for _, address := range addresses {
		answer, err = c.callAt(ctx, address, call)
		if err == nil || !mayGoOn(ctx, err) {
			return answer, err
		}
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || !unreachable.Sent {
			continue
		}
		if !call.repeatable() {
			return answer, err
		}
		call.Attempt++
	}
	return answer, err
}

// repeatable reports whether a second send is harmless.
func (c Call) repeatable() bool {
	return c.IdempotencyKey != "" || c.Method == http.MethodGet || c.Method == http.MethodHead
}

func (c *Client) callAt(ctx context.Context, base string, call Call) (Answer, error) {
	req, err := c.request(ctx, call.Method, base, call.Path, call.Body)
	if err != nil {
		return Answer{}, err
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(headerAttempt, strconv.Itoa(call.Attempt))
	if call.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	resp, err := c.send(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, &UnreachableError{Address: req.URL.Host, Sent: true, Err: err}
	}
	if refusal, ok := decodeRefusal(data); ok && resp.StatusCode >= http.StatusBadRequest {
		return Answer{}, refusal
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: data, Address: base}, nil
}

// IsUnknown reports whether an error leaves open whether the request ran.
func IsUnknown(err error) bool {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal.Ran == domain.RanUnknown
	}
	var unreachable *UnreachableError
	return errors.As(err, &unreachable) && unreachable.Sent
}
