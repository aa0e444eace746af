package route

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
}
