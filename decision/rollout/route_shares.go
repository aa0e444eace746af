package rollout

// evenPart is the part of the share that is spread evenly over routes, whatever their traffic.
const evenPart = 0.5

// maxRouteShare is the largest share of a route with little traffic.
const maxRouteShare = 0.5

// RouteShares returns the shares of routes when a share of all requests goes to the new version, by the requests of each
// route so far: routes with little traffic have a larger one, so that a version that is bad on one of them is noticed. No more
// requests go to the new version than with one share.
func RouteShares(share float64, requests map[uint32]int) map[uint32]float64 {
	total, routes := 0, 0
	for _, count := range requests {
		total += count
		if count > 0 {
			routes++
		}
	}
	shares := make(map[uint32]float64, routes)
	for route, count := range requests {
		if count == 0 {
			continue
		}
		even := evenPart * share * float64(total) / float64(routes*count)
		shares[route] = min((1-evenPart)*share+even, max(share, maxRouteShare))
	}
	return shares
}
