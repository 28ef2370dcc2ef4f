package membudget

// Snapshot is the memory that a host holds and may hold, in bytes.
type Snapshot struct {
	// Limit and Budget are 0 if no memory limit is stated.
	Limit  int64 `json:"limit"`
	Budget int64 `json:"budget"`
	// Held is the sum of the uses that follow, as of about the same time.
	Held        int64 `json:"held"`
	Bodies      int64 `json:"bodies"`
	Responses   int64 `json:"responses"`
	Messages    int64 `json:"messages"`
	Connections int64 `json:"connections"`
}

// Snapshot returns the memory that is held and may be held.
func (b *Budget) Snapshot() Snapshot {
	return Snapshot{
		Limit: b.limit.Load(), Budget: b.Total(), Held: b.HeldInAll(), Bodies: b.Held(Bodies),
		Responses: b.Held(Responses), Messages: b.Held(Messages), Connections: b.Held(Connections),
	}
}
