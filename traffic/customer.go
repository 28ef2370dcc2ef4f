package traffic

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// CustomerName identifies a customer in the configuration.
type CustomerName string

// Credential identifies the key that a request carries. It does not contain the key, so it may be
// kept and compared. The zero value is that of a request without a key.
type Credential struct {
	digest [sha256.Size]byte
	given  bool
}

// NewCredential returns the credential of a key, or the zero value if the key is empty.
func NewCredential(key string) Credential {
	if key == "" {
		return Credential{}
	}
	return Credential{digest: sha256.Sum256([]byte(key)), given: true}
}

// Given reports whether the request carries a key.
func (c Credential) Given() bool { return c.given }

// Customer holds keys and a quota. It is immutable.
type Customer struct {
	Name CustomerName
	Keys []Credential
	// Priority goes before the priority of the route if HasPriority; 0 is the highest.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// QuotaUnit is what a quota counts.
type QuotaUnit int

// Units of quotas.
const (
	// QuotaRequests counts requests.
	QuotaRequests QuotaUnit = iota
	// QuotaTokens counts tokens.
	QuotaTokens
)

// Quota bounds what a customer may send, all hosts together.
type Quota struct {
	Unit QuotaUnit
	// Rate is the number of units a second, Burst that of units beyond them. There is no limit if
	// Rate is 0.
	Rate, Burst float64
	// PlainTokens is what a request without a token count costs if the unit is tokens.
	PlainTokens int
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns the units that a request costs.
func (q Quota) Cost(req *Request) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case req.PromptTokens+req.MaxOutput > 0:
		return float64(req.PromptTokens + req.MaxOutput)
	default:
		return float64(q.PlainTokens)
	}
}

// HopMAC returns the MAC of the name of a request's customer, for another host that has the same
// configuration.
func (c *Config) HopMAC(requestID string, name CustomerName) []byte {
	mac := hmac.New(sha256.New, c.HopKey)
	// The length keeps identifiers and names apart.
	_, _ = mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(requestID)))) // Writes to a hash do not fail.
	_, _ = mac.Write([]byte(requestID))
	_, _ = mac.Write([]byte(name))
	return mac.Sum(nil)
}

// StatedBy reports whether a host with the same configuration stated the customer of a request.
// It takes the same time for all MACs.
func (c *Config) StatedBy(requestID string, hop *Hop) bool {
	return len(c.HopKey) > 0 && hop.Customer != "" && hmac.Equal(hop.CustomerMAC, c.HopMAC(requestID, hop.Customer))
}
