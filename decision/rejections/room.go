package rejections

import "time"

// Load is the number of requests at a server.
type Load struct {
	// Own are those of this instance, All those of all instances as far as known.
	Own, All int
}

// HasRoom reports whether this instance may send a request to a server that runs as many as it has places. A server without a
// limit always has room. Each rejection of the last seconds counts as a place that the server doesn't have,
// up to half of them.
func (t *Table) HasRoom(now time.Time, server, service string, places int, share Share, load Load) bool {
	limit := t.Limit(now, server, service)
	if limit == 0 {
		return true
	}
	assumed, ownRejections, chosen := places, 0, 0
	if r := t.servers[server]; r != nil {
		if !r.exhaustedUntil(now, allowance(limit)).IsZero() {
			return false
		}
		assumed = max(1, places/2, places-r.lostPlaces(now))
		ownRejections, _ = r.since(now.Add(-Window))
		chosen = r.recentChoices(now)
	}
	if load.All+chosen >= assumed {
		return false
	}
	part := share.places(assumed, 0)
	if load.All+chosen < assumed*3/4 {
		// The instance uses places of others at the risk of rejections, which the allowance bounds. It is given out
		// after all places, because instances don't know of the same rejections.
		part += share.places(allowance(limit), places)
	}
	return load.Own+chosen < part-ownRejections
}

// Started records that the request of a choice counts in the load from now on.
func (t *Table) Started(server string) {
	if r := t.servers[server]; r != nil && len(r.choices) > 0 {
		r.choices = r.choices[1:]
	}
}

// Chosen records that a request is about to be sent to a server with a limit. Until Started it counts as load.
func (t *Table) Chosen(now time.Time, server, service string) {
	if t.Limit(now, server, service) > 0 {
		r := t.add(server)
		r.service = service
		r.choices = append(r.choices, now)
	}
}
