package placement

import "greengagespoke/domain"

// prefixScore sets the number of prompt tokens that each prefill upstream is
// expected to have in its prefix cache.
type prefixScore struct {
	index *PrefixIndex
}

func (prefixScore) Name() string { return "prefix" }

func (p prefixScore) Run(s *Snapshot, r *Request, d *Decision) {
	if p.index == nil || len(r.Keys) == 0 {
		return
	}
	matched := p.index.Match(r.Keys)
	for i := range s.Prefill {
		pieces := int(matched[s.Prefill[i].IndexPosition])
		d.Prefill[i].CachedTokens = min(pieces*domain.TokensPerPiece, r.PromptTokens)
	}
}
