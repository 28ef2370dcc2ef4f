package engine

import (
	"context"
	"encoding/json"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// RemoteExport fetches a prefill result from an engine in another process.
type RemoteExport func(ctx context.Context, source domain.Upstream, handle string) ([]byte, error)

// exported is a prefill result between processes.
type exported struct {
	ID         domain.AttemptID `json:"id"`
	PromptHash uint64           `json:"prompt_hash"`
	Tokens     int              `json:"tokens"`
	Delivered  int              `json:"delivered"`
	Total      int              `json:"total"`
	Poisoned   bool             `json:"poisoned"`
}

// Export returns a prefill result for an engine in another process and frees it.
func (e *Engine) Export(ctx context.Context, handle string) ([]byte, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	defer e.mu.Unlock()
	r := e.results[handle]
	if r == nil {
		e.counts.Expired++
		return nil, e.errorf(ports.EngineExpired, "the prefill result is gone; prefill again")
	}
	delete(e.results, handle)
	return json.Marshal(exported{
		ID:         r.kv.id,
		PromptHash: r.kv.promptHash,
		Tokens:     r.kv.tokens,
		Delivered:  r.kv.delivered,
		Total:      r.kv.total,
		Poisoned:   r.kv.poisoned,
	})
}

// fetch gets a result from an engine that the fabric does not know. The transfer
// takes as long as this engine's link needs.
func (e *Engine) fetch(ctx context.Context, req ports.ImportRequest) (kvCache, error) {
	if e.cfg.Remote == nil || req.SourceAddress == "" {
		return kvCache{}, e.errorf(ports.EngineUnreachable, "no link to %s", req.Source)
	}
	source := domain.Upstream{ID: req.Source, Address: req.SourceAddress}
	data, err := e.cfg.Remote(ctx, source, req.Handle)
	if err != nil {
		return kvCache{}, err
	}
	var x exported
	if err := json.Unmarshal(data, &x); err != nil {
		return kvCache{}, e.errorf(ports.EngineInvalid, "unreadable result from %s: %v", req.Source, err)
	}
	kv := kvCache{
		id:         x.ID,
		handle:     req.Handle,
		promptHash: x.PromptHash,
		tokens:     x.Tokens,
		delivered:  x.Delivered,
		total:      x.Total,
		poisoned:   x.Poisoned,
	}
	if !pause.For(ctx, transferTime(kv.bytes(), e.cfg.Upstream.LinkRate)) {
		return kvCache{}, e.errorf(ports.EngineStalled, "the transfer from %s did not end in time", req.Source)
	}
	return kv, nil
}
