package event

import "github.com/rs/zerolog"

// Events of orders to engines, numbered from 5500.
var (
	OrdersLeaseAcquired = Definition{5500, "orders_lease_acquired", zerolog.InfoLevel, "this instance acquired the lease and gives the orders of its data centre", "none"}
	OrdersLeaseLost     = Definition{5501, "orders_lease_lost", zerolog.InfoLevel, "this instance no longer holds the lease and gives no more orders", "none; another instance takes the lease over"}
	OrderGiven          = Definition{5502, "order_given", zerolog.InfoLevel, "an engine was ordered to load or unload a model", "explain the backend server to see why"}
)

var ordersEvents = []Definition{OrdersLeaseAcquired, OrdersLeaseLost, OrderGiven}
