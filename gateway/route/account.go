package route

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the route's priority; it is less than 0 when the
	// account has none.
	Priority int
}
