package peers

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// FuzzDocumentOfServers checks that no list of servers of a peer makes the directory panic.
func FuzzDocumentOfServers(f *testing.F) {
	for _, seed := range []string{`{}`, `null`, `{"Complete":true,"AsOf":9,"Servers":[null,{"ID":"s","Service":"m","Address":"x","Revision":1}],"Removed":{"s":3,"":0}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		servers := directory.New()
		servers.Put(&directory.Server{ID: "s", Service: "m", Address: "10.0.0.1:1", Revision: 2})
		var export directory.Export
		if json.Unmarshal(text, &export) != nil {
			return
		}
		servers.Import(export)
		_ = servers.Snapshot().ForService("m")
	})
}

// FuzzTable checks that no digest makes the table of peers panic.
func FuzzTable(f *testing.F) {
	f.Add(Encode(&Digest{Instance: "i", DataCentre: "a", Incarnation: 1, Sequence: 1, Probe: true, HasLoads: true}), "10.0.0.2")
	f.Add(Encode(&Digest{Leaving: true, CutOff: CutOff{All: true}}), "::1")
	f.Fuzz(func(_ *testing.T, payload []byte, from string) {
		address, err := netip.ParseAddr(from)
		digest, decodeErr := Decode(payload)
		if err != nil || decodeErr != nil {
			return
		}
		service := newService(netip.MustParseAddrPort("10.0.0.1:1"))
		for range 2 {
			service.record(begin, address, digest)
		}
		_ = service.table.Members()
	})
}
