package engine

import "slices"

// KV is the KV cache state of a sequence, for transfer to another engine.
type KV struct {
	ID     string
	Prompt string
	Tokens int
}

// export returns the KV state of a running or waiting sequence.
func (e *Engine) export(id string) (KV, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.request.ID == id && !s.ended {
			return KV{ID: id, Prompt: s.request.Prompt, Tokens: s.nextIndex}, true
		}
	}
	return KV{}, false
}

// importKV stores the KV state of a sequence. It reports false if there is no
// room for it.
func (e *Engine) importKV(kv KV) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.importedTokens) >= e.CachePrompts {
		return false
	}
	e.importedTokens[kv.ID] = kv.Tokens
	return true
}
