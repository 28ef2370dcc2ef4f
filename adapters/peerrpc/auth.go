package peerrpc

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// authHeader carries the request time and the message authentication code.
	authHeader = "Authorization"
	// defaultClockSkew is the clock difference accepted by default. It assumes that
	// the clocks of the hosts are synchronized.
	defaultClockSkew = time.Minute
	// macBytes is the length of the truncated message authentication code, half of
	// a SHA-256 hash.
	macBytes = sha256.Size / 2
	// timestampBase is the number base of the request time in the header.
	timestampBase = 36
)

// Errors of request authentication.
var (
	errNoSignature  = errors.New("request carries no signature; set the shared peer key on the sending host")
	errBadSignature = errors.New("signature does not match; set the same peer key on all hosts")
	errClockSkew    = errors.New("request time is too far from this host's clock; synchronize the clocks of the hosts")
)

// authenticator signs and checks requests between hosts with HMAC-SHA-256
// (RFC 2104) over the path, the time in milliseconds and the body's hash.
type authenticator struct {
	key []byte
	now func() time.Time
	// maxSkew is the largest accepted difference between the time in a request and
	// the receiver's wall clock.
	maxSkew time.Duration
}

func newAuthenticator(key string, now func() time.Time) *authenticator {
	return &authenticator{key: []byte(key), now: now, maxSkew: defaultClockSkew}
}

// sign sets the signature header of a request.
func (a *authenticator) sign(r *http.Request, body []byte) {
	at := strconv.FormatInt(a.now().UnixMilli(), timestampBase)
	mac := base64.RawURLEncoding.EncodeToString(a.mac(r.URL.Path, at, body))
	r.Header.Set(authHeader, at+"."+mac)
}

// verify returns an error if the request was not signed with the key or if its
// time differs from the local clock by more than the allowed skew.
func (a *authenticator) verify(r *http.Request, body []byte) error {
	at, encoded, ok := strings.Cut(r.Header.Get(authHeader), ".")
	if !ok {
		return errNoSignature
	}
	got, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return errBadSignature
	}
	if !hmac.Equal(got, a.mac(r.URL.Path, at, body)) {
		return errBadSignature
	}
	millis, err := strconv.ParseInt(at, timestampBase, 64)
	if err != nil {
		return errBadSignature
	}
	if a.now().Sub(time.UnixMilli(millis)).Abs() > a.maxSkew {
		return errClockSkew
	}
	return nil
}

func (a *authenticator) mac(path, at string, body []byte) []byte {
	hash := sha256.Sum256(body)
	mac := hmac.New(sha256.New, a.key)
	mac.Write([]byte(path))
	mac.Write([]byte{0})
	mac.Write([]byte(at))
	mac.Write([]byte{0})
	mac.Write(hash[:])
	return mac.Sum(nil)[:macBytes]
}
