package admission

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

func TestSmallChangesOfSharesAreNotRecorded(t *testing.T) {
	is := is.New(t)
	is.True(!changedEnough(share.Amounts{100, 8, 0, 0}, share.Amounts{100, 8, 0, 0}))
	is.True(!changedEnough(share.Amounts{100}, share.Amounts{80}))
	is.True(changedEnough(share.Amounts{100}, share.Amounts{75}))
	is.True(changedEnough(share.Amounts{100}, share.Amounts{125}))
	is.True(changedEnough(share.Amounts{0, 0}, share.Amounts{0, 1}))
}

func TestReasonOfAShareNamesLimitAndDemand(t *testing.T) {
	is := is.New(t)
	account := share.Account{Name: "a", Limits: share.Amounts{40}, Demand: share.Amounts{3}}
	is.Equal(shareReason(account, share.Amounts{9}, share.Amounts{4}, 8),
		"requests-per-second 9 to 4 of 40 with a demand of 3 here; 8 other instances share the limits")
}
