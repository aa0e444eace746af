package share

import "github.com/wisteriahaven/wisteriahaven/estate"

// Kind identifies one of the limits of a client account.
type Kind int

// RequestRateUnit is the number of units of RequestsPerSecond in one request per
// second. Shares are whole numbers, and a small rate has to be divisible among
// many instances.
const RequestRateUnit = 60

// The limits of a client account.
const (
	// RequestsPerSecond is counted in requests per minute; see RequestRateUnit.
	RequestsPerSecond Kind = iota
	RequestsInFlight
	TokensPerSecond
	TokensInFlight
	// Kinds is the number of limits.
	Kinds
)

// kindNames holds the names that are used as keys, in the order of the kinds.
var kindNames = [Kinds]string{"requests-per-second", "requests-in-flight", "tokens-per-second", "tokens-in-flight"}

// String returns the name of the limit.
func (k Kind) String() string { return kindNames[k] }

// Amounts holds one amount for each kind of limit.
type Amounts [Kinds]int

// LimitsOf converts the limits of an account to amounts; zero means no limit.
func LimitsOf(limits estate.AccountLimits) Amounts {
	return Amounts{limits.RequestsPerSecond * RequestRateUnit, limits.RequestsInFlight, limits.TokensPerSecond, limits.TokensInFlight}
}
