package placement

import "greengagespoke/domain"

// prefixScore sets the prompt tokens that each prefill upstream is expected to
// have in its cache.
type prefixScore struct {
	index *PrefixIndex
}

func (prefixScore) Name() string { return "prefix" }

func (p prefixScore) Run(s *Snapshot, r *Request, d *Decision) {
	if p.index == nil || len(r.Keys) == 0 {
		return
	}
	p.index.match(r.Keys, len(s.Prefill), func(prefill, pieces int) {
		d.Prefill[prefill].CachedTokens = min(pieces*domain.PieceTokens, r.PromptTokens)
	})
}
