package claims

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	prefixRows    = "claims/"
	prefixObjects = "claims/"
)

// state is the state of a claim row.
type state string

// The states of a claim row.
const (
	stateOpen     state = "open"
	stateDone     state = "done"
	stateReleased state = "released"
)

// claimRow is the stored form of a claim.
type claimRow struct {
	State state `json:"state"`
	// Nonce tells a host its own write when the answer to it was lost.
	Nonce   string        `json:"nonce"`
	Attempt int           `json:"attempt"`
	Host    domain.HostID `json:"host"`
	Digest  uint64        `json:"digest"`
	At      time.Time     `json:"at"`
	// Outcome is the response, or Object the key of the object that holds it.
	Outcome *ports.ServiceResponse `json:"outcome,omitempty"`
	Object  string                 `json:"object,omitempty"`
}

// claim is a claim that this host holds.
type claim struct {
	key     string
	row     claimRow
	version int64
}

func (c *Claimer) newRow(call Call) claimRow {
	return claimRow{
		State: stateOpen, Nonce: c.nonce(), Attempt: call.Attempt,
		Host: c.cfg.Host, Digest: call.Digest, At: c.cfg.Clock.Now().UTC(),
	}
}

// rowKey returns the key of the claim row of a call.
func rowKey(call Call) string {
	return prefixRows + url.PathEscape(string(call.Caller)) + "/" + url.PathEscape(call.Key)
}

func encode(row claimRow) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("claim row cannot be encoded: %v", err))
	}
	return value
}

func decode(row ports.Row) (claimRow, error) {
	var out claimRow
	err := json.Unmarshal(row.Value, &out)
	return out, err
}
