package admission

import (
	"strconv"
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

const (
	// minRecordedChange is the smallest change of a share that is recorded, as a
	// fraction of the last recorded share.
	minRecordedChange = 0.25
	// minRecordInterval is the minimum time between two records of one account.
	minRecordInterval = 5 * time.Second
)

// recordedShares holds the last recorded shares of one account.
type recordedShares struct {
	shares share.Amounts
	at     time.Duration
}

// setShares applies the shares of an account and records why they changed. The
// caller holds the lock.
func (c *Controller) setShares(account share.Account, shares share.Amounts, peers int) {
	c.core.SetShares(account.Name, account.Limits, shares)
	if c.options.Recorder == nil {
		return
	}
	now := c.now()
	last, found := c.recorded[account.Name]
	if found && (now-last.at < minRecordInterval || !changedEnough(last.shares, shares)) {
		return
	}
	c.recorded[account.Name] = recordedShares{shares, now}
	c.options.Recorder.Record(serving.Decision{
		Subject: account.Name,
		Kind:    "share",
		Reason:  shareReason(account, last.shares, shares, peers),
	})
}

// changedEnough reports whether at least one share changed enough to be recorded.
func changedEnough(recorded, shares share.Amounts) bool {
	for kind := range shares {
		change := float64(shares[kind] - recorded[kind])
		if change < 0 {
			change = -change
		}
		if change > 0 && change >= minRecordedChange*float64(recorded[kind]) {
			return true
		}
	}
	return false
}

// shareReason describes each share that has a limit: its old and new value, the
// account's limit and its demand at this instance.
func shareReason(account share.Account, before, after share.Amounts, peers int) string {
	var parts []string
	for kind, limit := range account.Limits {
		if limit == 0 {
			continue
		}
		parts = append(parts, share.Kind(kind).String()+" "+strconv.Itoa(before[kind])+" to "+strconv.Itoa(after[kind])+
			" of "+strconv.Itoa(limit)+" with a demand of "+strconv.Itoa(account.Demand[kind])+" here")
	}
	return strings.Join(parts, ", ") + "; " + strconv.Itoa(peers) + " other instances share the limits"
}
