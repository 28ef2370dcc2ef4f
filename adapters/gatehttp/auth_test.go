package gatehttp

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"greengagespoke/domain"
)

var (
	oldKey = TokenKey{ID: "2026-11", Secret: []byte("an old secret of some length 0001")}
	newKey = TokenKey{ID: "2026-12", Secret: []byte("a newer secret of some length 002")}
)

func signed(t *testing.T, key TokenKey, method jwt.SigningMethod, claims jwt.RegisteredClaims) string {
	t.Helper()
	token := jwt.NewWithClaims(method, claims)
	token.Header["kid"] = key.ID
	var secret any = key.Secret
	if method == jwt.SigningMethodNone {
		secret = jwt.UnsafeAllowNoneSignatureType
	}
	text, err := token.SignedString(secret)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestTokenAuth(t *testing.T) {
	later := jwt.NewNumericDate(time.Now().Add(time.Hour))
	earlier := jwt.NewNumericDate(time.Now().Add(-time.Hour))
	good := jwt.RegisteredClaims{Subject: "firm-a", Issuer: "sine", ExpiresAt: later}
	cases := map[string]struct {
		token string
		ok    bool
	}{
		"old key":       {signed(t, oldKey, jwt.SigningMethodHS256, good), true},
		"new key":       {signed(t, newKey, jwt.SigningMethodHS256, good), true},
		"unknown key":   {signed(t, TokenKey{ID: "2020-01", Secret: oldKey.Secret}, jwt.SigningMethodHS256, good), false},
		"wrong secret":  {signed(t, TokenKey{ID: oldKey.ID, Secret: newKey.Secret}, jwt.SigningMethodHS256, good), false},
		"no signature":  {signed(t, oldKey, jwt.SigningMethodNone, good), false},
		"other method":  {signed(t, oldKey, jwt.SigningMethodHS512, good), false},
		"expired":       {signed(t, oldKey, jwt.SigningMethodHS256, jwt.RegisteredClaims{Subject: "firm-a", Issuer: "sine", ExpiresAt: earlier}), false},
		"no expiry":     {signed(t, oldKey, jwt.SigningMethodHS256, jwt.RegisteredClaims{Subject: "firm-a", Issuer: "sine"}), false},
		"other issuer":  {signed(t, oldKey, jwt.SigningMethodHS256, jwt.RegisteredClaims{Subject: "firm-a", Issuer: "saloum", ExpiresAt: later}), false},
		"no subject":    {signed(t, oldKey, jwt.SigningMethodHS256, jwt.RegisteredClaims{Issuer: "sine", ExpiresAt: later}), false},
		"no token":      {"", false},
		"not a token":   {"abc", false},
		"changed token": {signed(t, oldKey, jwt.SigningMethodHS256, good) + "x", false},
	}
	auth := NewTokenAuth([]TokenKey{oldKey, newKey}, "sine", "")
	for name, c := range cases {
		r := httptest.NewRequest("POST", "/v1/completions", nil)
		r.Header.Set("Authorization", "Bearer "+c.token)
		caller, err := auth.Caller(r)
		if (err == nil) != c.ok || c.ok && caller != "firm-a" {
			t.Errorf("%s: caller %q, error %v", name, caller, err)
		}
		if refusal, refused := domain.AsRefusal(err); refused && (refusal.Kind != domain.RefusalUnauthenticated || refusal.Ran != domain.RanNo) {
			t.Errorf("%s: refusal is %v", name, refusal)
		}
	}
}
