package storeguard

import (
	"context"

	"greengagespoke/ports"
)

// guardedTables implements ports.TableService.
type guardedTables struct{ g *Guard }

type getResult struct {
	row ports.Row
	ok  bool
}

// Get implements ports.TableService.
func (t guardedTables) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	t.g.count.reads.Add(1)
	res, err := callGuarded(ctx, t.g, t.g.reads, t.g.readBreaker, ClassOf(ctx), func() (getResult, error) {
		row, ok, err := t.g.cfg.Tables.Get(ctx, key)
		return getResult{row: row, ok: ok}, err
	})
	return res.row, res.ok, err
}

// Scan implements ports.TableService.
func (t guardedTables) Scan(ctx context.Context, from, to string, limit int) ([]ports.Row, error) {
	t.g.count.reads.Add(1)
	return callGuarded(ctx, t.g, t.g.reads, t.g.readBreaker, ClassOf(ctx), func() ([]ports.Row, error) {
		return t.g.cfg.Tables.Scan(ctx, from, to, limit)
	})
}

// Commit implements ports.TableService.
func (t guardedTables) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResult, error) {
	t.g.count.writes[ClassOf(ctx)].Add(1)
	return callGuarded(ctx, t.g, t.g.writes, t.g.writeBreaker, ClassOf(ctx), func() (ports.TxnResult, error) {
		return t.g.cfg.Tables.Commit(ctx, txn)
	})
}

// guardedObjects implements ports.ObjectStore.
type guardedObjects struct{ g *Guard }

// Put implements ports.ObjectStore.
func (o guardedObjects) Put(ctx context.Context, key string, value []byte) error {
	o.g.count.writes[ClassOf(ctx)].Add(1)
	_, err := callGuarded(ctx, o.g, o.g.writes, o.g.writeBreaker, ClassOf(ctx), func() (struct{}, error) {
		return struct{}{}, o.g.cfg.Objects.Put(ctx, key, value)
	})
	return err
}

// Get implements ports.ObjectStore.
func (o guardedObjects) Get(ctx context.Context, key string) ([]byte, error) {
	o.g.count.reads.Add(1)
	return callGuarded(ctx, o.g, o.g.reads, o.g.readBreaker, ClassOf(ctx), func() ([]byte, error) {
		return o.g.cfg.Objects.Get(ctx, key)
	})
}
