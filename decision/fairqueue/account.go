package fairqueue

// account holds the waiting requests of one client account.
type account struct {
	name   string
	weight int
	items  []Item
	// virtualTime is the account's virtual time, in cost divided by weight.
	virtualTime float64
}

// insert adds an item and keeps the items ordered by priority and then by age.
func (a *account) insert(item Item) {
	at := len(a.items)
	for at > 0 && a.items[at-1].Priority < item.Priority {
		at--
	}
	a.items = append(a.items, Item{})
	copy(a.items[at+1:], a.items[at:])
	a.items[at] = item
}

// remove removes and returns the item at the position.
func (a *account) remove(at int) Item {
	item := a.items[at]
	a.items = append(a.items[:at], a.items[at+1:]...)
	return item
}

// backlog returns the number of waiting requests divided by the weight.
func (a *account) backlog() float64 { return float64(len(a.items)) / float64(a.weight) }
