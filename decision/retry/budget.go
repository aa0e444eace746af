package retry

// Budget bounds retries to a share of the requests, so that retries can't
// amplify an overload. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	limit   float64
	balance float64
}

// NewBudget returns a full budget. Each request adds ratio retries; at most
// limit accumulate.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, balance: limit}
}

// RecordRequest records the first attempt of a call.
func (b *Budget) RecordRequest() {
	b.balance = min(b.limit, b.balance+b.ratio)
}

// Take uses one retry and reports whether one was left.
func (b *Budget) Take() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Balance returns the number of remaining retries.
func (b *Budget) Balance() float64 { return b.balance }
