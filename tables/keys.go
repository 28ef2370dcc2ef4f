package tables

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Keys of the table service.
const (
	keyHead        = "tables/head"
	prefixRows     = "tables/row/"
	prefixRowsEnd  = "tables/row0"
	prefixLog      = "tables/log/"
	prefixEdit     = "tables/edit/"
	revisionDigits = 19
)

// head is the row that holds the last accepted revision.
type head struct {
	Revision domain.Revision `json:"revision"`
	// Digest is the sum of the digests of all rows.
	Digest uint64 `json:"digest"`
}

// editRecord is the row through which a retried edit finds its change.
type editRecord struct {
	Revision domain.Revision `json:"revision"`
}

// rowKey identifies a row across both tables.
type rowKey struct {
	table domain.TableName
	row   string
}

// storeKey returns the key of the row in the table service.
func (k rowKey) storeKey() string {
	return prefixRows + string(k.table) + "/" + k.row
}

// digest returns what a row adds to the head's digest.
func (k rowKey) digest(version domain.Revision) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s@%d", k.table, k.row, version))
}

func keyOf(row domain.VersionedRow) rowKey {
	return rowKey{table: row.Table, row: row.Row}
}

// parseRowKey is the inverse of storeKey.
func parseRowKey(key string) (rowKey, bool) {
	rest, ok := strings.CutPrefix(key, prefixRows)
	if !ok {
		return rowKey{}, false
	}
	table, row, ok := strings.Cut(rest, "/")
	return rowKey{table: domain.TableName(table), row: row}, ok
}

// logKey returns the key of an accepted change. Keys sort by revision.
func logKey(revision domain.Revision) string {
	return fmt.Sprintf("%s%0*d", prefixLog, revisionDigits, revision)
}

func decodeHead(row ports.Row) (head, error) {
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, fmt.Errorf("%w: %w", ErrUnreadableHead, err)
	}
	return h, nil
}
