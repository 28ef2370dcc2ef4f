package gatehttp

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"greengagespoke/domain"
)

// StatusCode returns the HTTP status code of a kind of refusal.
func StatusCode(kind domain.RefusalKind) int {
	switch kind {
	case domain.RefusalBadRequest:
		return http.StatusBadRequest
	case domain.RefusalUnauthenticated:
		return http.StatusUnauthorized
	case domain.RefusalNotFound, domain.RefusalNoRoute:
		return http.StatusNotFound
	case domain.RefusalDuplicate, domain.RefusalSuperseded:
		return http.StatusConflict
	case domain.RefusalTooLarge:
		return http.StatusRequestEntityTooLarge
	case domain.RefusalQueueFull, domain.RefusalLate, domain.RefusalOverloaded, domain.RefusalOverQuota:
		return http.StatusTooManyRequests
	case domain.RefusalQuarantined:
		return http.StatusUnprocessableEntity
	case domain.RefusalNoUpstream, domain.RefusalLeaving, domain.RefusalStoreDown, domain.RefusalNotResumable, domain.RefusalCutOff,
		domain.RefusalQuotaUnknown, domain.RefusalNoMemory:
		return http.StatusServiceUnavailable
	case domain.RefusalUpstreamFailed:
		return http.StatusBadGateway
	case domain.RefusalDeadline:
		return http.StatusGatewayTimeout
	case domain.RefusalCanceled:
		return statusClientClosedRequest
	default:
		return http.StatusInternalServerError
	}
}

// statusClientClosedRequest is the non-standard status code in common use for a
// request whose caller disconnected.
const statusClientClosedRequest = 499

// RefusalBody is the JSON form of a refusal.
type RefusalBody struct {
	Error RefusalDetail `json:"error"`
}

// RefusalDetail is the content of a RefusalBody.
type RefusalDetail struct {
	Kind    domain.RefusalKind `json:"kind"`
	Message string             `json:"message"`
	Remedy  string             `json:"remedy"`
	Ran     domain.Ran         `json:"ran"`
	// RetryAfterMS is the suggested delay before a retry in milliseconds; zero
	// means that there is no suggestion.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

func refusalBody(r *domain.Refusal) RefusalBody {
	return RefusalBody{Error: RefusalDetail{
		Kind:         r.Kind,
		Message:      r.Message,
		Remedy:       r.Remedy,
		Ran:          r.Ran,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}}
}

// asRefusal returns the refusal in err. A body over the size limit becomes
// RefusalTooLarge, and any other error RefusalInternal.
func asRefusal(err error) *domain.Refusal {
	if r, ok := domain.AsRefusal(err); ok {
		return r
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return domain.Refuse(domain.RefusalTooLarge, "the request body is too large",
			"send at most "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return domain.Refuse(domain.RefusalInternal, err.Error(), "report this to the operator").WithRan(domain.RanUnknown)
}

func writeError(w http.ResponseWriter, err error) {
	writeRefusal(w, asRefusal(err))
}

func writeRefusal(w http.ResponseWriter, r *domain.Refusal) {
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, StatusCode(r.Kind), refusalBody(r))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
