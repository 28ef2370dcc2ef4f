package ports

import (
	"context"
	"errors"

	"greengagespoke/domain"
)

// Errors of the platform's table service and object store.
var (
	// ErrStoreDown means that the service refused or could not be reached before
	// the request was sent: a write did not take effect.
	ErrStoreDown = errors.New("table service unavailable; retry after the outage")
	// ErrStoreUnknown means that the answer was lost: a write may have taken
	// effect and must be read back.
	ErrStoreUnknown = errors.New("table service answer lost; read the row back")
	// ErrStoreThrottled means that the service's rate limit was hit and nothing
	// was done.
	ErrStoreThrottled = errors.New("table service rate limit reached; retry later")
	// ErrNoObject means that the object does not exist.
	ErrNoObject = errors.New("no such object")
)

// Row is one row of the table service.
type Row struct {
	Key   string
	Value []byte
	// Version is the service-wide number of the transaction that wrote the row.
	// It grows with every write.
	Version int64
}

// Condition holds when the row's version equals Version; 0 means that the row
// must not exist.
type Condition struct {
	Key     string
	Version int64
}

// Write puts or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is one transaction: all writes happen if all conditions hold, else none.
type Txn struct {
	If   []Condition
	Then []Write
}

// TxnResult says whether a transaction's conditions held.
type TxnResult struct {
	Applied bool
	// Version is the version of the written rows if applied.
	Version int64
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Get returns the row, or ok false where there is none.
	Get(ctx context.Context, key string) (row Row, ok bool, err error)
	// Scan returns at most limit rows with keys in [from, to) in key order.
	Scan(ctx context.Context, from, to string, limit int) ([]Row, error)
	// Commit runs a transaction. With ErrStoreUnknown it may have been applied.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns ErrNoObject where the key does not exist.
	Get(ctx context.Context, key string) ([]byte, error)
}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	// Name is the HostID of an entry host or the UpstreamID of an upstream.
	Name    string      `json:"name"`
	Zone    domain.Zone `json:"zone"`
	Leaving bool        `json:"leaving"`
	// PeerAddress and CallerAddress are set for entry hosts only.
	PeerAddress   string `json:"peer_address,omitempty"`
	CallerAddress string `json:"caller_address,omitempty"`
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
