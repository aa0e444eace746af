package settings

import "github.com/wisteriahaven/wisteriahaven/estate"

// Settings are the bootstrap settings of one entry instance.
type Settings struct {
	// Instance is the unique name of this entry instance.
	Instance   string          `json:"instance"`
	DataCentre string          `json:"data_centre"`
	Region     string          `json:"region"`
	Listen     Listen          `json:"listen,omitzero"`
	Platform   Platform        `json:"platform,omitzero"`
	Keys       Keys            `json:"keys,omitzero"`
	Seeds      []Peer          `json:"seeds,omitempty"`
	Operators  []OperatorToken `json:"operators,omitempty"`
	Limits     Limits          `json:"limits,omitzero"`
	Intervals  Intervals       `json:"intervals,omitzero"`
	// Gateway makes the instance forward requests by a table of routes; the
	// sections from Listen to Operators are then not needed.
	Gateway *Gateway `json:"gateway,omitempty"`
}

// Listen holds the addresses of the instance, each "ip:port".
type Listen struct {
	// Callers takes requests of callers (HTTP).
	Callers string `json:"callers"`
	// Operators takes commands, dumps, metrics and probes (HTTP).
	Operators string `json:"operators"`
	// Gossip takes digests of other instances (UDP).
	Gossip string `json:"gossip"`
	// Peers takes calls of other instances (TCP).
	Peers string `json:"peers"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	ObjectAPI    string `json:"object_api"`
	InstanceList string `json:"instance_list"`
	WeightStore  string `json:"weight_store"`
	// ReadsPerSecond and WritesPerSecond bound this instance's calls.
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
}

// Keys are the secrets shared by all instances, each with an id so that they
// rotate without a stop.
type Keys struct {
	Cursor KeyRing `json:"cursor"`
	Peer   KeyRing `json:"peer"`
}

// KeyRing is a set of keys of which one signs and all verify.
type KeyRing struct {
	// Active is the id of the key that signs.
	Active string `json:"active"`
	Keys   []Key  `json:"keys"`
}

// Key is one secret, in hexadecimal, of at least 32 bytes.
type Key struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

// Peer names another entry instance.
type Peer struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Gossip     string `json:"gossip"`
	Peers      string `json:"peers"`
	Callers    string `json:"callers"`
	Operators  string `json:"operators"`
}

// Role is what an operator's token allows.
type Role string

// The roles of operators; each includes the ones before it.
const (
	RoleRead    Role = "read"
	RoleOperate Role = "operate"
	RoleAdmit   Role = "admit"
)

// Token is an operator's access token, kept as a SHA-256 hash in hexadecimal.
type OperatorToken struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
	Role Role   `json:"role"`
}

// Limits bound what the instance takes from callers.
type Limits struct {
	BodyBytes      int             `json:"body_bytes,omitempty"`
	HeaderBytes    int             `json:"header_bytes,omitempty"`
	IdleTimeout    estate.Duration `json:"idle_timeout,omitzero"`
	RequestsQueued int             `json:"requests_queued,omitempty"`
	RetainedBytes  int             `json:"retained_bytes,omitempty"`
}

// Intervals are the periods of the background duties.
type Intervals struct {
	Gossip     estate.Duration `json:"gossip,omitzero"`
	LoadReport estate.Duration `json:"load_report,omitzero"`
	KeepAlive  estate.Duration `json:"keep_alive,omitzero"`
	// Limits is the period in which instances exchange reports that divide the
	// limits of client accounts; an instance is ready after four of them.
	LimitReports estate.Duration `json:"limits,omitzero"`
	// Unready is the time between becoming unready and closing the listeners
	// in a planned stop, so that the balancer notices first.
	UnreadyTime estate.Duration `json:"unready,omitzero"`
}
