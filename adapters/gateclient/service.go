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
	// Path is the URL path, including the query if there is one.
	Path string
	Body []byte
	// ContentType is the media type of the body; if empty, no Content-Type header
	// is sent.
	ContentType string
	// IdempotencyKey identifies a non-idempotent call; a resend has the same key.
	IdempotencyKey string
	// Attempt is the attempt number of the first send; 0 means 1. A caller that
	// has already sent the call sets a larger number.
	Attempt int
}

// Answer is the complete response of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Address is the base URL of the host that responded.
	Address string
}

// CallService sends a call. It tries the next address if the call did not reach a
// host or the host is leaving, and also after a lost response if the call is safe to
// resend. Errors are *domain.Refusal or *UnreachableError.
func (c *Client) CallService(ctx context.Context, call Call) (Answer, error) {
	addresses, err := c.addresses(ctx)
	if err != nil {
		return Answer{}, err
	}
	call.Attempt = max(1, call.Attempt)
	var answer Answer
	for _, address := range addresses {
		answer, err = c.sendCall(ctx, address, call)
		if err == nil || !shouldTryNextAddress(ctx, err) {
			return answer, err
		}
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || !unreachable.Sent {
			continue
		}
		if !call.safeToResend() {
			return answer, err
		}
		call.Attempt++
	}
	return answer, err
}

// safeToResend reports whether the call may be sent again after a lost response.
func (c Call) safeToResend() bool {
	return c.IdempotencyKey != "" || c.Method == http.MethodGet || c.Method == http.MethodHead
}

func (c *Client) sendCall(ctx context.Context, base string, call Call) (Answer, error) {
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

// IsUnknown reports whether it is unknown, after an error, if the request ran.
func IsUnknown(err error) bool {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal.Ran == domain.RanUnknown
	}
	var unreachable *UnreachableError
	return errors.As(err, &unreachable) && unreachable.Sent
}
