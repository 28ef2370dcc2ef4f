package tables

import (
	"context"
	"fmt"
	"slices"

	"greengagespoke/domain"
)

// maxValueBytes bounds the size of the value of one row.
const maxValueBytes = 512 << 10

// checkEdit validates an edit and its value without regard to other rows.
func checkEdit(edit domain.Edit) error {
	c := &checker{table: edit.Table, row: edit.Row}
	c.require(edit.Table == domain.TableRoutes || edit.Table == domain.TablePools, "table", fmt.Sprintf("%q is unknown", edit.Table), "write routes or pools")
	c.requireName(edit.Row, "name")
	c.requireName(edit.ID, "edit id")
	c.require(edit.Editor != "", "editor", "is missing", "say who makes the change")
	c.require(edit.BaseVersion >= 0, "base version", "is negative", "write the version that the edit is based on, or 0 for a new row")
	c.require(len(edit.Value) > 0 || edit.BaseVersion > 0, "value", "is missing on a new row", "write the row's value")
	c.require(len(edit.Value) <= maxValueBytes, "value", fmt.Sprintf("has %d bytes", len(edit.Value)), fmt.Sprintf("write at most %d bytes; split the pool", maxValueBytes))
	if err := c.result(); err != nil || len(edit.Value) == 0 {
		return err
	}
	if edit.Table == domain.TableRoutes {
		_, err := decodeRoute(edit)
		return err
	}
	_, err := decodePool(edit)
	return err
}

func decodeRoute(edit domain.Edit) (domain.Route, error) {
	var route domain.Route
	if err := strictDecode(edit.Value, &route); err != nil {
		return route, decodeError(edit, err)
	}
	return route, checkRoute(edit.Row, route)
}

func decodePool(edit domain.Edit) (domain.Pool, error) {
	var pool domain.Pool
	if err := strictDecode(edit.Value, &pool); err != nil {
		return pool, decodeError(edit, err)
	}
	return pool, checkPool(edit.Row, pool)
}

func decodeError(edit domain.Edit, err error) error {
	invalid := &InvalidRowError{Table: edit.Table, Row: edit.Row, Field: "value", Message: err.Error(), Remedy: "write the fields of this table with their types"}
	if field, ok := unknownField(err); ok {
		invalid.Field, invalid.Message, invalid.Remedy = field, "is no field of this table", "remove it or correct its name"
	}
	return invalid
}

// check validates an edit against the current tables.
func (e *Editor) check(ctx context.Context, st *state, edit domain.Edit) error {
	current := st.rows[rowKey{edit.Table, edit.Row}]
	if current.Version != edit.BaseVersion {
		return e.conflict(ctx, edit, current)
	}
	switch {
	case edit.Table == domain.TableRoutes && len(edit.Value) > 0:
		route, err := decodeRoute(edit)
		if err != nil {
			return err
		}
		return checkRouteFits(st.view, route)
	case edit.Table == domain.TablePools && len(edit.Value) > 0:
		pool, err := decodePool(edit)
		if err != nil {
			return err
		}
		return checkPoolFits(st.view, pool)
	case edit.Table == domain.TablePools:
		return checkPoolUnused(st.view, domain.PoolName(edit.Row))
	}
	return nil
}

// conflict returns the ConflictError of an edit whose base version is outdated, with
// the editor and time of the change that superseded it.
func (e *Editor) conflict(ctx context.Context, edit domain.Edit, current domain.VersionedRow) error {
	conflict := &ConflictError{
		Table: edit.Table, Row: edit.Row,
		Base: edit.BaseVersion, Current: current.Version,
		Wanted: edit.Value, Found: current.Value,
	}
	last, err := e.History(ctx, HistoryFilter{Table: edit.Table, Row: edit.Row, Limit: 1})
	if err != nil {
		return err
	}
	if len(last) == 1 {
		conflict.By, conflict.At = last[0].Editor, last[0].At
	}
	return conflict
}

// checkRouteFits checks that the pool of a route exists and suits it, and that no other
// route serves the same model or path prefix.
func checkRouteFits(v *view, route domain.Route) error {
	c := &checker{table: domain.TableRoutes, row: string(route.Name)}
	pool, ok := v.pools[string(route.Pool)]
	if !ok {
		return &UnknownPoolError{Route: route.Name, Pool: route.Pool}
	}
	fits := (route.Model != "") == (pool.pool.Kind == domain.PoolModel)
	c.require(fits, "pool", fmt.Sprintf("%q is a %s pool, which does not fit the route", route.Pool, pool.pool.Kind), "name a model pool for a route with model, a service pool for a route with path_prefix")
	for _, other := range v.routeList {
		if other.Name == route.Name {
			continue
		}
		const remedy = "remove or change that route first"
		c.require(route.Model == "" || other.Model != route.Model, "model", fmt.Sprintf("%q is served by route %q already", route.Model, other.Name), remedy)
		c.require(route.PathPrefix == "" || other.PathPrefix != route.PathPrefix, "path_prefix", fmt.Sprintf("%q is served by route %q already", route.PathPrefix, other.Name), remedy)
	}
	return c.result()
}

// checkPoolFits checks that a pool suits the routes that use it, and that no other pool
// has any of its upstreams.
func checkPoolFits(v *view, pool domain.Pool) error {
	c := &checker{table: domain.TablePools, row: string(pool.Name)}
	for _, route := range v.routeList {
		fits := route.Pool != pool.Name || (route.Model != "") == (pool.Kind == domain.PoolModel)
		c.require(fits, "kind", fmt.Sprintf("%q does not fit route %q, which uses the pool", pool.Kind, route.Name), "change the route first")
	}
	owners := make(map[domain.UpstreamID]domain.PoolName)
	for _, other := range v.poolList {
		if other.Name == pool.Name {
			continue
		}
		for _, up := range other.Upstreams {
			owners[up.ID] = other.Name
		}
	}
	for i, up := range pool.Upstreams {
		owner, taken := owners[up.ID]
		c.require(!taken, fmt.Sprintf("upstreams[%d].id", i), fmt.Sprintf("%q belongs to pool %q already", up.ID, owner), "take it out of that pool first, or give the upstream its own id")
	}
	return c.result()
}

// checkPoolUnused checks that no route uses a pool.
func checkPoolUnused(v *view, pool domain.PoolName) error {
	var users []domain.RouteName
	for _, route := range v.routeList {
		if route.Pool == pool {
			users = append(users, route.Name)
		}
	}
	if len(users) == 0 {
		return nil
	}
	slices.Sort(users)
	return &InUseError{Pool: pool, Routes: users}
}
