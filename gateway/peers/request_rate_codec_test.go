package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/serverrate"
)

func TestRequestRatesKeepTheirAgesInADigest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	statements := []serverrate.Statement{
		{Server: "a", PerSecond: 1.125, StatedAt: now},
		{Server: "b", PerSecond: 40, StatedAt: now.Add(-3 * time.Second), ClearedAt: now.Add(-time.Second)},
	}
	sent := &Digest{Instance: "i", DataCentre: "c", RequestRates: requestRateReports(now, statements)}
	received, err := Decode(Encode(sent))
	is.NoErr(err)
	is.Equal(received.RequestRates, sent.RequestRates)
	for n := range received.RequestRates {
		is.Equal(received.RequestRates[n].statement(now), statements[n])
	}
}

func TestRequestRatesWithoutAServerAndTooManyAreIgnored(t *testing.T) {
	is := is.New(t)
	sent := &Digest{Instance: "i", DataCentre: "c", RequestRates: []RequestRateReport{{PerSecond: 1}}}
	for range 2 * maxRequestRates {
		sent.RequestRates = append(sent.RequestRates, RequestRateReport{Server: "a", StatedAge: noAge, ClearedAge: noAge})
	}
	received, err := Decode(Encode(sent))
	is.NoErr(err)
	is.Equal(len(received.RequestRates), maxRequestRates)
	is.True(received.RequestRates[0].statement(time.Now()).StatedAt.IsZero())
}
