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
	rowKeyPrefix    = "claims/"
	objectKeyPrefix = "claims/"
)

// rowState is the state of a claim row.
type rowState string

// The states of a claim row.
const (
	stateOpen     rowState = "open"
	stateDone     rowState = "done"
	stateReleased rowState = "released"
)

// claimRow is the stored form of a claim.
type claimRow struct {
	State rowState `json:"state"`
	// Nonce lets a host recognize its own write after the response to the write
	// was lost.
	Nonce   string        `json:"nonce"`
	Attempt int           `json:"attempt"`
	Host    domain.HostID `json:"host"`
	Digest  uint64        `json:"digest"`
	At      time.Time     `json:"at"`
	// Outcome is the response to the call. A response whose body exceeds
	// MaxInlineBodyBytes is stored in the object store instead, under the key
	// Object.
	Outcome *ports.ServiceResponse `json:"outcome,omitempty"`
	Object  string                 `json:"object,omitempty"`
}

// heldClaim is a claim that this host holds, with the version of its row.
type heldClaim struct {
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
	return rowKeyPrefix + url.PathEscape(string(call.Caller)) + "/" + url.PathEscape(call.Key)
}

func encodeRow(row claimRow) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("claim row cannot be encoded: %v", err))
	}
	return value
}

func decodeRow(row ports.Row) (claimRow, error) {
	var out claimRow
	err := json.Unmarshal(row.Value, &out)
	return out, err
}
