package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// RemoteError is an error that another host returned for a call and that does not
// correspond to a port error.
type RemoteError struct {
	Host domain.HostID
	// Code is the twirp error code.
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s failed: %s: %s; see the log of that host", e.Host, e.Code, e.Message)
}

// Keys of the twirp error metadata.
const (
	metaError      = "error"
	metaMessage    = "message"
	metaRemedy     = "remedy"
	metaRan        = "ran"
	metaRetryAfter = "retry_after_ns"
	metaKind       = "kind"
)

// errorName names a port error in twirp error metadata.
type errorName string

const (
	nameRefusal     errorName = "refusal"
	nameStillQueued errorName = "still_queued"
	nameNotKeeper   errorName = "not_keeper"
	nameUnreachable errorName = "unreachable"
	nameRelayStale  errorName = "relay_stale"
)

// sentinels are the port errors that are sent between hosts by name.
var sentinels = map[errorName]error{
	nameStillQueued: ports.ErrStillQueued,
	nameNotKeeper:   ports.ErrNotKeeper,
	nameUnreachable: ports.ErrPeerUnreachable,
	nameRelayStale:  ports.ErrRelayStale,
}

// toTwirp converts an error of a local implementation into a twirp error whose
// metadata preserves its kind for the calling host.
func toTwirp(err error) error {
	if err == nil {
		return nil
	}
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusalToTwirp(refusal)
	}
	for name, sentinel := range sentinels {
		if errors.Is(err, sentinel) {
			return twirp.Unavailable.Error(err.Error()).WithMeta(metaError, string(name))
		}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return twirp.DeadlineExceeded.Error(err.Error())
	}
	if errors.Is(err, context.Canceled) {
		return twirp.Canceled.Error(err.Error())
	}
	return twirp.Internal.Error(err.Error())
}

func refusalToTwirp(r *domain.Refusal) error {
	return twirp.FailedPrecondition.Error(r.Error()).
		WithMeta(metaError, string(nameRefusal)).
		WithMeta(metaKind, string(r.Kind)).
		WithMeta(metaMessage, r.Message).
		WithMeta(metaRemedy, r.Remedy).
		WithMeta(metaRan, string(r.Ran)).
		WithMeta(metaRetryAfter, strconv.FormatInt(int64(r.RetryAfter), 10))
}

// fromTwirp converts an error of a twirp client into a port error. Errors of calls
// without a response match ports.ErrPeerUnreachable, and also the context's error
// if the context ended the call.
func fromTwirp(ctx context.Context, host domain.HostID, err error) error {
	if err == nil {
		return nil
	}
	if ctxErr := ctx.Err(); ctxErr != nil {
		return fmt.Errorf("%w: host %s: %w", ports.ErrPeerUnreachable, host, ctxErr)
	}
	var twerr twirp.Error
	if !errors.As(err, &twerr) || !isFromRemote(twerr) {
		return fmt.Errorf("%w: host %s: %v", ports.ErrPeerUnreachable, host, err)
	}
	name := errorName(twerr.Meta(metaError))
	if name == nameRefusal {
		return refusalFromTwirp(twerr)
	}
	if sentinel, ok := sentinels[name]; ok {
		return sentinel
	}
	return &RemoteError{Host: host, Code: string(twerr.Code()), Message: twerr.Msg()}
}

// isFromRemote reports whether the other host returned the twirp error. The
// generated client wraps connection failures as the cause of an internal error.
func isFromRemote(err twirp.Error) bool {
	return errors.Unwrap(err) == nil
}

func refusalFromTwirp(err twirp.Error) *domain.Refusal {
	after, parseErr := strconv.ParseInt(err.Meta(metaRetryAfter), 10, 64)
	if parseErr != nil {
		after = 0
	}
	return &domain.Refusal{
		Kind:       domain.RefusalKind(err.Meta(metaKind)),
		Message:    err.Meta(metaMessage),
		Remedy:     err.Meta(metaRemedy),
		Ran:        domain.Ran(err.Meta(metaRan)),
		RetryAfter: time.Duration(after),
	}
}
