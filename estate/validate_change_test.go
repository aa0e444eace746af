package estate_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// TestHomeRegionOfAnAccountStays checks both ways in which an account's home
// region could change: by its firm, or by the home region of the firm.
func TestHomeRegionOfAnAccountStays(t *testing.T) {
	base := &estate.Configuration{
		Firms: []estate.Firm{{Name: "north", HomeRegion: "n"}, {Name: "south", HomeRegion: "s"}, {Name: "far-north", HomeRegion: "n"}},
		ClientAccounts: []estate.ClientAccount{
			{Name: "account", Firm: "north"},
		},
	}
	next := func(firms []estate.Firm, firm string) *estate.Configuration {
		return &estate.Configuration{Firms: firms, ClientAccounts: []estate.ClientAccount{{Name: "account", Firm: firm}}}
	}
	moved := []estate.Firm{{Name: "north", HomeRegion: "s"}}
	is := is.New(t)
	is.Equal(len(estate.ValidateChange(base, next(base.Firms, "north"))), 0)
	is.Equal(len(estate.ValidateChange(base, next(base.Firms, "far-north"))), 0)
	is.Equal(len(estate.ValidateChange(base, next(base.Firms, "south"))), 1)
	is.Equal(len(estate.ValidateChange(base, next(moved, "north"))), 1)
	is.Equal(estate.ValidateChange(base, next(moved, "north"))[0].Path, "client_accounts[0].firm")
}
