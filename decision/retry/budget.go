package retry

// Budget bounds retries to a share of the requests, so that retries can't
// multiply an overload. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	limit   float64
	balance float64
}

// NewBudget returns a full budget. Each request earns ratio retries; at most
// limit are saved.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, balance: limit}
}

// Request notes a first attempt.
func (b *Budget) RecordRequest() {
	b.balance = min(b.limit, b.balance+b.ratio)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Balance returns the number of retries that are left.
func (b *Budget) Balance() float64 { return b.balance }
