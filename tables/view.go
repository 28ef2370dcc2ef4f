package tables

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"greengagespoke/domain"
)

// UnreadableRow describes a row of the store that this version cannot use. The host
// continues to use the last good value.
type UnreadableRow struct {
	Table domain.TableName `json:"table"`
	Row   string           `json:"row"`
	// Version is the unreadable version, or 0 if it is unknown. LastGood is the
	// version that the host uses, or 0 if it has none.
	Version  domain.Revision `json:"version"`
	LastGood domain.Revision `json:"last_good"`
	Problem  string          `json:"problem"`
}

// decodedRoute is a route with the revision that wrote it.
type decodedRoute struct {
	version domain.Revision
	route   domain.Route
}

// decodedPool is a pool with the revision that wrote it.
type decodedPool struct {
	version domain.Revision
	pool    domain.Pool
}

// view is the decoded form of a state, with indexes for lookups on the request
// path. It is immutable once it is built.
type view struct {
	routes     map[string]decodedRoute
	pools      map[string]decodedPool
	unreadable map[rowKey]UnreadableRow

	routeList []domain.Route
	poolList  []domain.Pool
	byModel   map[string]int
	byPrefix  map[string]int
	// prefixSizes lists the distinct lengths of path prefixes, longest first.
	prefixSizes []int
}

func emptyView() *view {
	return &view{routes: map[string]decodedRoute{}, pools: map[string]decodedPool{}, unreadable: map[rowKey]UnreadableRow{}}
}

// update returns the view after the touched rows changed.
func (v *view) update(rows map[rowKey]domain.VersionedRow, touched map[rowKey]bool) *view {
	next := &view{
		routes:     maps.Clone(v.routes),
		pools:      maps.Clone(v.pools),
		unreadable: maps.Clone(v.unreadable),
	}
	for key := range touched {
		delete(next.unreadable, key)
		row, ok := rows[key]
		if !ok {
			next.remove(key)
			continue
		}
		if err := next.decode(key, row); err != nil {
			next.unreadable[key] = UnreadableRow{
				Table: key.table, Row: key.row, Version: row.Version,
				LastGood: next.lastGood(key), Problem: err.Error(),
			}
		}
	}
	next.index()
	return next
}

func (v *view) remove(key rowKey) {
	switch key.table {
	case domain.TableRoutes:
		delete(v.routes, key.row)
	case domain.TablePools:
		delete(v.pools, key.row)
	}
}

func (v *view) lastGood(key rowKey) domain.Revision {
	if key.table == domain.TableRoutes {
		return v.routes[key.row].version
	}
	return v.pools[key.row].version
}

// decode reads a row leniently: unknown fields, which newer versions may write, are
// ignored.
func (v *view) decode(key rowKey, row domain.VersionedRow) error {
	switch key.table {
	case domain.TableRoutes:
		var route domain.Route
		if err := json.Unmarshal(row.Value, &route); err != nil {
			return err
		}
		if err := checkRoute(key.row, route); err != nil {
			return err
		}
		v.routes[key.row] = decodedRoute{version: row.Version, route: route}
	case domain.TablePools:
		var pool domain.Pool
		if err := json.Unmarshal(row.Value, &pool); err != nil {
			return err
		}
		if err := checkPool(key.row, pool); err != nil {
			return err
		}
		v.pools[key.row] = decodedPool{version: row.Version, pool: pool}
	default:
		return fmt.Errorf("unknown table %q", key.table)
	}
	return nil
}

// index builds the lists and lookups. Of two routes for one model or prefix, the
// one whose name sorts first is used.
func (v *view) index() {
	for _, name := range slices.Sorted(maps.Keys(v.pools)) {
		v.poolList = append(v.poolList, v.pools[name].pool)
	}
	v.byModel = make(map[string]int)
	v.byPrefix = make(map[string]int)
	sizes := make(map[int]bool)
	for i, name := range slices.Sorted(maps.Keys(v.routes)) {
		route := v.routes[name].route
		v.routeList = append(v.routeList, route)
		if route.Model != "" {
			setFirst(v.byModel, route.Model, i)
			continue
		}
		setFirst(v.byPrefix, route.PathPrefix, i)
		sizes[len(route.PathPrefix)] = true
	}
	v.prefixSizes = slices.Sorted(maps.Keys(sizes))
	slices.Reverse(v.prefixSizes)
}

func setFirst(index map[string]int, key string, i int) {
	if _, taken := index[key]; !taken {
		index[key] = i
	}
}

func (v *view) routeForModel(model string) (domain.Route, bool) {
	i, ok := v.byModel[model]
	if !ok {
		return domain.Route{}, false
	}
	return v.routeList[i], true
}

// routeForPath tries the distinct prefix lengths, longest first.
func (v *view) routeForPath(path string) (domain.Route, bool) {
	for _, size := range v.prefixSizes {
		if size > len(path) {
			continue
		}
		if i, ok := v.byPrefix[path[:size]]; ok {
			return v.routeList[i], true
		}
	}
	return domain.Route{}, false
}

// unreadableRows returns the unreadable rows, sorted by table and row.
func (v *view) unreadableRows() []UnreadableRow {
	rows := slices.Collect(maps.Values(v.unreadable))
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Table != rows[j].Table {
			return rows[i].Table < rows[j].Table
		}
		return rows[i].Row < rows[j].Row
	})
	return rows
}

// strictDecode decodes a single value and rejects unknown fields.
func strictDecode(value json.RawMessage, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return fmt.Errorf("more than one value")
	}
	return nil
}

// unknownField returns the field name from the decoder's error about an unknown
// field; ok is false for any other error.
func unknownField(err error) (string, bool) {
	_, rest, ok := strings.Cut(err.Error(), "unknown field ")
	return strings.Trim(rest, `"`), ok
}

func compact(value json.RawMessage) []byte {
	var out bytes.Buffer
	if json.Compact(&out, value) != nil {
		return value
	}
	return out.Bytes()
}
