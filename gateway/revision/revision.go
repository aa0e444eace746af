package revision

import (
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Revision is a position in the history of the store: the era, which rises each time the store
// comes back from an older copy, and the number of the change within the era. Revisions are
// compared with the ordinary operators; a later era is greater whatever the numbers are. The zero
// value precedes every change.
type Revision uint64

const (
	numberBits = 48
	// MaxEra is the largest era of a revision.
	MaxEra = 1<<(64-numberBits) - 1
	// MaxNumber is the largest number of a revision.
	MaxNumber = 1<<numberBits - 1
)

// New returns the revision with a number in an era. It returns fault.StoreEraInvalid when one of
// them is over its maximum.
func New(era, number uint64) (Revision, error) {
	if era > MaxEra || number > MaxNumber {
		return 0, fault.New(fault.StoreEraInvalid, "era "+strconv.FormatUint(era, 10)+" or revision "+strconv.FormatUint(number, 10)+" is too large")
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era of the revision; 0 when the store states none.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the change within the era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the revision as "era/number".
func (r Revision) String() string {
	return strconv.FormatUint(r.Era(), 10) + "/" + strconv.FormatUint(r.Number(), 10)
}
