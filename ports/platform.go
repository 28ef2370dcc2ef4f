package ports

import (
	"context"
	"errors"

	"greengagespoke/domain"
)

// Errors returned by the clients of the table service and the object store.
var (
	// ErrStoreDown means that the service rejected the request, or could not be
	// reached before the request was sent. A write did not take effect.
	ErrStoreDown = errors.New("table service unavailable; retry after the outage")
	// ErrStoreUnknown means that the response was lost. A write may have taken
	// effect, so the row must be read back.
	ErrStoreUnknown = errors.New("table service answer lost; read the row back")
	// ErrStoreThrottled means that the service rejected the request because its
	// rate limit was reached. A write did not take effect.
	ErrStoreThrottled = errors.New("table service rate limit reached; retry later")
	// ErrNoObject means that the object does not exist.
	ErrNoObject = errors.New("no such object")
)

// Row is one row of the table service.
type Row struct {
	Key   string
	Value []byte
	// Version is the number of the transaction that wrote the row. The numbers
	// are service-wide and increase with every write.
	Version int64
}

// Condition is a precondition of a transaction: the version of the row must equal
// Version; 0 means that the row must not exist.
type Condition struct {
	Key     string
	Version int64
}

// Write sets the value of one row, or deletes the row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is one atomic transaction: all writes are applied if all conditions hold,
// otherwise none.
type Txn struct {
	If   []Condition
	Then []Write
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Applied is true if the conditions held and the writes were applied.
	Applied bool
	// Version is the version of the written rows if Applied is true.
	Version int64
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Get returns the row; ok is false if the row does not exist.
	Get(ctx context.Context, key string) (row Row, ok bool, err error)
	// Scan returns at most limit rows with keys in [from, to), in key order.
	Scan(ctx context.Context, from, to string, limit int) ([]Row, error)
	// Commit runs a transaction. If the error is ErrStoreUnknown, the transaction
	// may have been applied.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns ErrNoObject if the key does not exist.
	Get(ctx context.Context, key string) ([]byte, error)
}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	// Name is the HostID of an entry host or the UpstreamID of an upstream.
	Name    string      `json:"name"`
	Zone    domain.Zone `json:"zone"`
	Leaving bool        `json:"leaving"`
	// Incarnation is that of the host when it wrote its entry, 0 if it is not stated. A mark of
	// leaving does not apply to a later one.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// PeerAddress and CallerAddress are set for entry hosts only.
	PeerAddress   string `json:"peer_address,omitempty"`
	CallerAddress string `json:"caller_address,omitempty"`
}

// HostList is the platform's list of live and leaving hosts. The list may be
// stale.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
