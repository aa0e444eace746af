package settings

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/document"
)

const (
	// minSecretBytes is the least length of a shared key.
	minSecretBytes = 32
	// tokenHashBytes is the length of a SHA-256 hash.
	tokenHashBytes = 32
)

// Validate checks settings whole. Problems carry paths, no lines.
func Validate(settings Settings) document.Problems {
	check := &validator{}
	check.required("instance", settings.Instance)
	check.required("data_centre", settings.DataCentre)
	check.required("region", settings.Region)
	if settings.Gateway != nil {
		check.gateway(settings.Gateway)
		return check.problems
	}
	check.listen(settings.Listen)
	check.platform(settings.Platform)
	check.keyRing("keys.cursor", settings.Keys.Cursor)
	check.keyRing("keys.peer", settings.Keys.Peer)
	check.seeds(settings.Seeds)
	check.operators(settings.Operators)
	check.limits(settings.Limits)
	return check.problems
}

type validator struct {
	problems document.Problems
}

func at(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

func (v *validator) required(path, value string) bool {
	if value == "" {
		v.problems.Add(path, "missing")
	}
	return value != ""
}

// address checks "ip:port".
func (v *validator) address(path, value string) {
	if !v.required(path, value) {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.problems.Add(path, "must be an IP number and a port, such as 127.0.0.1:8080; found \""+value+"\"")
	}
}

func (v *validator) listen(listen Listen) {
	v.address("listen.callers", listen.Callers)
	v.address("listen.operators", listen.Operators)
	v.address("listen.gossip", listen.Gossip)
	v.address("listen.peers", listen.Peers)
	taken := make(map[string]string)
	v.ownTCPAddress("listen.callers", listen.Callers, taken)
	v.ownTCPAddress("listen.operators", listen.Operators, taken)
	v.ownTCPAddress("listen.peers", listen.Peers, taken)
}

// ownTCPAddress checks that no two TCP listeners share an address. Port 0
// leaves the choice to the system.
func (v *validator) ownTCPAddress(path, value string, taken map[string]string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		return
	}
	if other, found := taken[value]; found {
		v.problems.Add(path, "the address is that of "+other+" already")
	}
	taken[value] = path
}

func (v *validator) platform(platform Platform) {
	v.baseURL("platform.object_api", platform.ObjectAPI)
	v.baseURL("platform.instance_list", platform.InstanceList)
	v.baseURL("platform.weight_store", platform.WeightStore)
	if platform.ReadsPerSecond < 0 {
		v.problems.Add("platform.reads_per_second", "must not be negative")
	}
	if platform.WritesPerSecond < 0 {
		v.problems.Add("platform.writes_per_second", "must not be negative")
	}
}

func (v *validator) baseURL(path, value string) {
	if !v.required(path, value) {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		v.problems.Add(path, "must be a URL, such as http://127.0.0.1:7000; found \""+value+"\"")
	}
}

func (v *validator) keyRing(path string, ring KeyRing) {
	ids := make(map[string]bool)
	for i, key := range ring.Keys {
		keyPath := at(path+".keys", i)
		if v.required(keyPath+".id", key.ID) && ids[key.ID] {
			v.problems.Add(keyPath+".id", "\""+key.ID+"\" is given twice")
		}
		ids[key.ID] = true
		if secret, err := hex.DecodeString(key.Secret); err != nil || len(secret) < minSecretBytes {
			v.problems.Add(keyPath+".secret", "must be at least "+strconv.Itoa(minSecretBytes)+" bytes in hexadecimal")
		}
	}
	if v.required(path+".active", ring.Active) && !ids[ring.Active] {
		v.problems.Add(path+".active", "no key has the id \""+ring.Active+"\"")
	}
}

func (v *validator) seeds(seeds []Peer) {
	seen := make(map[string]bool)
	for i, seed := range seeds {
		path := at("seeds", i)
		if v.required(path+".instance", seed.Instance) && seen[seed.Instance] {
			v.problems.Add(path+".instance", "\""+seed.Instance+"\" is given twice")
		}
		seen[seed.Instance] = true
		v.required(path+".data_centre", seed.DataCentre)
		v.required(path+".region", seed.Region)
		v.address(path+".gossip", seed.Gossip)
		v.address(path+".peers", seed.Peers)
		v.address(path+".callers", seed.Callers)
		v.address(path+".operators", seed.Operators)
	}
}

func (v *validator) operators(tokens []OperatorToken) {
	names := make(map[string]bool)
	hashes := make(map[string]bool)
	for i, token := range tokens {
		path := at("operators", i)
		if v.required(path+".name", token.Name) && names[token.Name] {
			v.problems.Add(path+".name", "\""+token.Name+"\" is given twice")
		}
		names[token.Name] = true
		if hash, err := hex.DecodeString(token.Hash); err != nil || len(hash) != tokenHashBytes {
			v.problems.Add(path+".hash", "must be a SHA-256 hash of 64 hexadecimal digits")
		} else if hashes[token.Hash] {
			v.problems.Add(path+".hash", "another operator has the same token")
		}
		hashes[token.Hash] = true
		switch token.Role {
		case RoleRead, RoleOperate, RoleAdmit:
		default:
			v.problems.Add(path+".role", "must be read, operate or admit; found \""+string(token.Role)+"\"")
		}
	}
}

func (v *validator) limits(limits Limits) {
	v.notNegative("limits.body_bytes", limits.BodyBytes)
	v.notNegative("limits.header_bytes", limits.HeaderBytes)
	v.notNegative("limits.requests_queued", limits.RequestsQueued)
	v.notNegative("limits.retained_bytes", limits.RetainedBytes)
}

func (v *validator) notNegative(path string, value int) {
	if value < 0 {
		v.problems.Add(path, "must not be negative")
	}
}
