package share

import "github.com/wisteriahaven/wisteriahaven/estate"

// Kind is one of the limits of a client account.
type Kind int

// RequestRateUnit is the number of units of RequestsPerSecond in one request a
// second: shares are whole numbers, and a small rate has to be divisible
// between many instances.
const RequestRateUnit = 60

// The limits of a client account.
const (
	// RequestsPerSecond is counted in requests a minute.
	RequestsPerSecond Kind = iota
	RequestsInFlight
	TokensPerSecond
	TokensInFlight
	// Kinds is the number of limits.
	Kinds
)

// kindNames are used as keys, in the order of the kinds.
var kindNames = [Kinds]string{"requests-per-second", "requests-in-flight", "tokens-per-second", "tokens-in-flight"}

// String returns the name of the limit.
func (k Kind) String() string { return kindNames[k] }

// Amounts holds one number for each limit.
type Amounts [Kinds]int

// LimitsOf returns the limits of an account; zero means no limit.
func LimitsOf(limits estate.AccountLimits) Amounts {
	return Amounts{limits.RequestsPerSecond * RequestRateUnit, limits.RequestsInFlight, limits.TokensPerSecond, limits.TokensInFlight}
}
