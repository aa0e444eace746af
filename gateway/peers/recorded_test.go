package peers

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/pace"
	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/decision/secondsends"
	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// lastTagOfCe27b4d is the highest field number of a digest that the build ce27b4d knows.
const lastTagOfCe27b4d protowire.Number = 22

// recordedDigest is the digest from which the build ce27b4d wrote testdata/ce27b4d/digest.hex; it has all fields of that build.
func recordedDigest() *Digest {
	return &Digest{
		Instance: "frontend-a-1", DataCentre: "a", Incarnation: 1 << 60, Sequence: 17, Version: 9, Revision: 1<<40 | 77, Servers: 1 << 63,
		Relay: true, Leaving: true, Probe: true, HasLoads: true,
		Loads:           []ServerLoad{{Server: "i-1", Load: placement.Load{Requests: 3, PrefillTokens: 8000, MemoryTokens: 20000}}},
		CutOff:          CutOff{Services: []string{"calls"}},
		FailedServers:   []FailedServer{{Server: "i-2", DataCentre: "b", Age: 120 * time.Millisecond, Down: true}},
		LeavingServers:  []LeavingServer{{Server: "i-3", Address: "10.0.0.3:8080", Incarnation: 1764800000000}},
		Usages:          []ServiceUsage{{Service: "calls", Usage: secondsends.Usage{Requests: 100, SecondSends: 4}}},
		Rates:           []ServiceRate{{Service: "model", Report: pace.Report{Observed: 8, EventInterval: 30 * time.Millisecond, EventIntervalDeviation: time.Millisecond, EventsPerToken: 0.2, EventsPerTokenDeviation: 0.01, ReadTimePerToken: 125 * time.Microsecond, ReadTimeDeviation: time.Microsecond}}},
		StreamRecords:   []streamversion.Record{{Key: 5, Origin: streamversion.Origin{Service: "model", Version: "v1"}}},
		WantedStreams:   []streamversion.Key{6, 7},
		Poison:          PoisonNews{Crashes: []CrashReport{{Server: 4, Run: poison.Run{Request: 8, Parts: []poison.Key{9}}, Age: time.Second}}, CleanRuns: []CleanRunReport{{Key: 10, Age: time.Second}}, Quarantines: []QuarantineReport{{Keys: []poison.Key{11}, Age: time.Minute, Renewals: 1}}},
		RejectionLimits: []rejections.ServiceLimit{{Service: "calls", Limit: 12}},
		Rejections:      []RejectionReport{{Server: "i-4", Ages: []time.Duration{300 * time.Millisecond}}},
		Members:         []netip.Addr{netip.MustParseAddr("10.0.0.9")},
	}
}

func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/ce27b4d/" + name)
	is.New(t).NoErr(err)
	if !strings.HasSuffix(name, ".hex") {
		return text
	}
	payload, err := hex.DecodeString(strings.TrimSpace(string(text)))
	is.New(t).NoErr(err)
	return payload
}

func TestDigestOfAnOlderBuildIsUnderstood(t *testing.T) {
	is := is.New(t)
	decoded, err := Decode(readRecorded(t, "digest.hex"))
	is.NoErr(err)
	is.Equal(decoded, recordedDigest())
}

// An older build reads the fields that it knows as it wrote them itself, so their bytes must not change.
func TestDigestIsUnderstoodByAnOlderBuild(t *testing.T) {
	is.New(t).Equal(hex.EncodeToString(Encode(recordedDigest())), hex.EncodeToString(readRecorded(t, "digest.hex")))
}

// New fields are of a kind that older builds skip: they read the kind of a field and its length before its number.
func TestFieldsOfNewerBuildsAreSkipped(t *testing.T) {
	recorded := readRecorded(t, "digest.hex")
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		tag := protowire.Number(rapid.IntRange(1000, 5000).Draw(t, "tag"))
		var field []byte
		if rapid.Bool().Draw(t, "number") {
			field = protowire.AppendVarint(protowire.AppendTag(nil, tag, protowire.VarintType), rapid.Uint64().Draw(t, "value"))
		} else {
			field = protowire.AppendBytes(protowire.AppendTag(nil, tag, protowire.BytesType), rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "bytes"))
		}
		decoded, err := Decode(append(field, append(append([]byte{}, recorded...), field...)...))
		is.NoErr(err)
		is.Equal(decoded, recordedDigest())
	})
}

// A digest with every field has, above those of ce27b4d, only fields that a reader can skip by their kind.
func TestNewFieldsOfDigestsAreNumbersOrBytes(t *testing.T) {
	is := is.New(t)
	for message := Encode(recordedDigest()); len(message) > 0; {
		tag, kind, size := protowire.ConsumeField(message)
		is.True(size > 0)
		if tag > lastTagOfCe27b4d {
			is.True(kind == protowire.VarintType || kind == protowire.BytesType)
		}
		message = message[size:]
	}
}

func TestServerListOfAnOlderBuildIsUnderstood(t *testing.T) {
	is := is.New(t)
	var export directory.Export
	is.NoErr(json.Unmarshal(readRecorded(t, "servers.json"), &export))
	imported := directory.New()
	changed, _ := imported.Import(export)
	is.Equal(changed, 1)
	server := imported.Snapshot().Find("i-1")
	is.Equal(server, &directory.Server{ID: "i-1", Incarnation: 1764800000000, Service: "model", Address: "10.0.0.1:8080", DataCentre: "a", SoftwareVersion: "v1", Slots: 64, ColdFor: time.Second, Revision: 7})
}

// An older build reads the list into the same fields; it ignores those that it doesn't know.
func TestServerListIsUnderstoodByAnOlderBuild(t *testing.T) {
	is := is.New(t)
	var export directory.Export
	is.NoErr(json.Unmarshal(readRecorded(t, "servers.json"), &export))
	written, err := json.Marshal(export)
	is.NoErr(err)
	var before, after map[string]any
	is.NoErr(json.Unmarshal(readRecorded(t, "servers.json"), &before))
	is.NoErr(json.Unmarshal(written, &after))
	for field, value := range before {
		if field != "Servers" {
			is.Equal(after[field], value)
		}
	}
	for field, value := range before["Servers"].([]any)[0].(map[string]any) {
		is.Equal(after["Servers"].([]any)[0].(map[string]any)[field], value)
	}
}
