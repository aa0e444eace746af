package route

// Account is a client account with its bearer keys.
type Account struct {
	Name string
	Keys []string
	// Rank is the rank of the account's requests, 0 the highest; nil when the rank of the route applies.
	Rank *int
}
