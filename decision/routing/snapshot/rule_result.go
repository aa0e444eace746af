package snapshot

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// RuleResult is the result of the rules for one request.
type RuleResult struct {
	// matched holds the rules that allow the request in some place.
	matched []estate.Rule
	// ClosestRule is the name of the rule that matches the most leading fields
	// of the request; empty when no rule is configured.
	ClosestRule string
	// MismatchedField is the first field of that rule that doesn't match; empty when all
	// fields of the request match and only the place is restricted.
	MismatchedField string
}

// evaluateRules evaluates the rules for a request, without the place of the server.
func evaluateRules(s *Snapshot, request serving.RouteRequest, version string) RuleResult {
	result := RuleResult{}
	maxMatched := -1
	for _, rule := range s.Rules {
		mismatch, matched := firstMismatch(rule, request, version)
		if mismatch == "" {
			result.matched = append(result.matched, rule)
		}
		if matched > maxMatched {
			maxMatched = matched
			result.ClosestRule = rule.Name
			result.MismatchedField = mismatch
		}
	}
	return result
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

// firstMismatch compares the fields in a fixed order. It returns the name of the
// first field that doesn't match, empty when all match, and the number of fields
// before it.
func firstMismatch(rule estate.Rule, request serving.RouteRequest, version string) (string, int) {
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

// matches reports whether a list of a rule allows a value; an empty one allows all.
func matches(allowed []string, value string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, value) || slices.Contains(allowed, estate.Any)
}
