package snapshot

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Verdict is what the rules say about one request.
type RuleResult struct {
	// matched are the rules that allow the request somewhere.
	matched []estate.Rule
	// Considered names the rule that came nearest to allowing the request,
	// empty when no rule is configured.
	ClosestRule string
	// Missed names the first part of that rule that didn't match, empty when
	// all parts of the request did and only the place is restricted.
	MismatchedField string
}

// judge finds the rules that match everything about a request but the place.
func judge(s *Snapshot, request serving.RouteRequest, version string) RuleResult {
	verdict := RuleResult{}
	nearest := -1
	for _, rule := range s.Rules {
		missed, fields := firstMissed(rule, request, version)
		if missed == "" {
			verdict.matched = append(verdict.matched, rule)
		}
		if fields > nearest {
			nearest = fields
			verdict.ClosestRule = rule.Name
			verdict.MismatchedField = missed
		}
	}
	return verdict
}

// Allows reports whether a matching rule covers the place.
func (v RuleResult) Allows(dataCentre, region string) bool {
	for _, rule := range v.matched {
		if matches(rule.Regions, region) && matches(rule.DataCentres, dataCentre) {
			return true
		}
	}
	return false
}

// firstMissed compares field after field and returns the name of the first
// that differs with the number of fields before it.
func firstMissed(rule estate.Rule, request serving.RouteRequest, version string) (string, int) {
	fields := []struct {
		name    string
		allowed []string
		value   string
	}{
		{"client account", rule.ClientAccounts, request.ClientAccount},
		{"firm", rule.Firms, request.Firm},
		{"service", rule.Services, request.Service},
		{"model", rule.Models, request.Model},
		{"version", rule.Versions, version},
	}
	for count, field := range fields {
		if !matches(field.allowed, field.value) {
			return field.name, count
		}
	}
	return "", len(fields)
}

func matches(allowed []string, value string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, value) || slices.Contains(allowed, estate.Any)
}
