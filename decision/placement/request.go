package placement

import "time"

// Place is a data centre and its region.
type Place struct {
	DataCentre string
	Region     string
}

// Candidate is a server that may be chosen.
type Candidate struct {
	ID    string
	Place Place
	// Slots is the maximum number of requests that run at once.
	Slots int
	// MemoryTokens is the engine's memory; 0 for servers that are not engines.
	MemoryTokens int
	// OutsidePartition means that the server is in the partition of another instance.
	OutsidePartition bool
	// Unknown is load there that the ledger doesn't know of, by the server's own statements, Waiting the number of
	// requests that wait there.
	Unknown Load
	Waiting int
	// ReadingSpeed is the number of prompt tokens that it reads in a millisecond at the usual speed; 0 for that of the policy.
	ReadingSpeed float64
	// ReadWork and ProduceWork are how long reading a prompt and producing an answer take there, as multiples of the
	// usual time; 0 when unknown, which counts as 1.
	ReadWork    float64
	ProduceWork float64
	// Detour says how its distance counts, CentreWait is the wait that the instances of its data centre state; 0 when unknown.
	Detour     Detour
	CentreWait time.Duration
	// Pause is the longest pause between two events that it makes now; 0 when unknown.
	Pause time.Duration
}

// readWork and produceWork return the multiples, 1 when unknown.
func (c *Candidate) readWork() float64    { return factor(c.ReadWork) }
func (c *Candidate) produceWork() float64 { return factor(c.ProduceWork) }

func factor(value float64) float64 {
	if value <= 0 {
		return 1
	}
	return value
}

// Generation is the size of a generation in tokens.
type Generation struct {
	// PromptTokens is the number of tokens to read before the first event.
	PromptTokens int
	// MemoryTokens is the number of tokens that it holds at its end.
	MemoryTokens int
	// PromptKey identifies its prompt; empty when unknown.
	PromptKey string
	// LeaveKey decides whether it leaves the data centre while a share of the requests does; empty when it stays.
	LeaveKey string
	// CachedAt is the server that keeps CachedTokens of the prompt and need not read them
	// again; empty when unknown.
	CachedAt     string
	CachedTokens int
	// ProduceTime is the minimum time that its answer takes at the usual speed, Remaining the time until its deadline, and
	// MaxPause the longest pause between events that its caller accepts; 0 when unknown.
	ProduceTime time.Duration
	Remaining   time.Duration
	MaxPause    time.Duration
}

// unreadTokens returns the number of prompt tokens that a server has to read.
func (g *Generation) unreadTokens(server string) int {
	if server == g.CachedAt {
		return max(0, g.PromptTokens-g.CachedTokens)
	}
	return g.PromptTokens
}
