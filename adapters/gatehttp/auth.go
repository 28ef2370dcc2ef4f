package gatehttp

import (
	"net/http"
	"strings"

	"github.com/golang-jwt/jwt/v5"

	"greengagespoke/domain"
)

// HeaderCaller is the request header that names the caller if authentication is
// disabled.
const HeaderCaller = "X-Caller"

// anonymousCaller is the caller of requests without HeaderCaller if
// authentication is disabled.
const anonymousCaller domain.CallerID = "anonymous"

// Authenticator identifies the caller of a request. Errors are *domain.Refusal.
type Authenticator interface {
	Caller(r *http.Request) (domain.CallerID, error)
}

// NoAuth trusts the caller name in HeaderCaller. It is intended for demos.
type NoAuth struct{}

// Caller returns the caller name in HeaderCaller, or "anonymous" if there is none.
// It never returns an error.
func (NoAuth) Caller(r *http.Request) (domain.CallerID, error) {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return domain.CallerID(name), nil
	}
	return anonymousCaller, nil
}

// TokenKey is an active signing key for caller tokens.
type TokenKey struct {
	// ID is the key identifier in the token's "kid" header.
	ID     string
	Secret []byte
}

// TokenAuth identifies callers by signed bearer tokens (JSON Web Tokens, RFC
// 7519, HS256). The caller is the token's subject. Several keys can be active at
// the same time, so that keys can be rotated.
type TokenAuth struct {
	keys   map[string][]byte
	parser *jwt.Parser
}

// NewTokenAuth returns an authenticator for the active keys. The issuer and the
// audience of a token are checked if the respective argument is not empty.
func NewTokenAuth(keys []TokenKey, issuer, audience string) *TokenAuth {
	opts := []jwt.ParserOption{
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithExpirationRequired(),
	}
	if issuer != "" {
		opts = append(opts, jwt.WithIssuer(issuer))
	}
	if audience != "" {
		opts = append(opts, jwt.WithAudience(audience))
	}
	a := &TokenAuth{
		keys:   make(map[string][]byte, len(keys)),
		parser: jwt.NewParser(opts...),
	}
	for _, key := range keys {
		a.keys[key.ID] = key.Secret
	}
	return a
}

// Caller returns the subject of the request's bearer token. Errors are
// *domain.Refusal of kind RefusalUnauthenticated.
func (a *TokenAuth) Caller(r *http.Request) (domain.CallerID, error) {
	raw, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", unauthenticated("no bearer token")
	}
	claims := new(jwt.RegisteredClaims)
	if _, err := a.parser.ParseWithClaims(raw, claims, a.key); err != nil {
		return "", unauthenticated(err.Error())
	}
	if claims.Subject == "" {
		return "", unauthenticated("token has no subject")
	}
	return domain.CallerID(claims.Subject), nil
}

func (a *TokenAuth) key(token *jwt.Token) (any, error) {
	id, _ := token.Header["kid"].(string)
	secret, ok := a.keys[id]
	if !ok {
		return nil, jwt.ErrTokenUnverifiable
	}
	return secret, nil
}

func unauthenticated(message string) *domain.Refusal {
	return domain.Refuse(domain.RefusalUnauthenticated, message, "send a valid token as Authorization: Bearer TOKEN")
}
