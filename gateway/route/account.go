package route

// Account is a client account with its bearer keys.
type Account struct {
	Name string
	Keys []string
}
