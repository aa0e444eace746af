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
	// Gateway makes the instance forward requests by a table of routes. The sections
	// from Listen to Operators are not needed then.
	Gateway *Gateway `json:"gateway,omitempty"`
}

// Listen holds the addresses of the instance, each "ip:port".
type Listen struct {
	// Callers receives requests of callers (HTTP).
	Callers string `json:"callers"`
	// Operators receives commands, requests for dumps and metrics, and probes (HTTP).
	Operators string `json:"operators"`
	// Gossip receives digests of peers (UDP).
	Gossip string `json:"gossip"`
	// Peers receives calls of peers (TCP).
	Peers string `json:"peers"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	ObjectAPI    string `json:"object_api"`
	InstanceList string `json:"instance_list"`
	WeightStore  string `json:"weight_store"`
	// ReadsPerSecond and WritesPerSecond bound this instance's calls to the platform.
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
}

// Keys holds the secrets shared by all instances. Each has an id, so that secrets can
// be rotated without stopping instances.
type Keys struct {
	Cursor KeyRing `json:"cursor"`
	Peer   KeyRing `json:"peer"`
}

// KeyRing is a set of keys: the active one signs, and all of them verify.
type KeyRing struct {
	// Active is the id of the key that signs.
	Active string `json:"active"`
	Keys   []Key  `json:"keys"`
}

// Key is one secret of at least 32 bytes, in hexadecimal.
type Key struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

// Peer holds the name, place and addresses of another entry instance.
type Peer struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Gossip     string `json:"gossip"`
	Peers      string `json:"peers"`
	Callers    string `json:"callers"`
	Operators  string `json:"operators"`
}

// Role determines which commands an operator's token allows.
type Role string

// Roles of operators; each allows what the ones before it allow, and more.
const (
	RoleRead    Role = "read"
	RoleOperate Role = "operate"
	RoleAdmit   Role = "admit"
)

// OperatorToken is an operator's access token, stored as its SHA-256 hash in hexadecimal.
type OperatorToken struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
	Role Role   `json:"role"`
}

// Limits bounds what the instance accepts from callers and holds for them.
type Limits struct {
	BodyBytes      int             `json:"body_bytes,omitempty"`
	HeaderBytes    int             `json:"header_bytes,omitempty"`
	IdleTimeout    estate.Duration `json:"idle_timeout,omitzero"`
	RequestsQueued int             `json:"requests_queued,omitempty"`
	RetainedBytes  int             `json:"retained_bytes,omitempty"`
}

// Intervals holds the periods of the background duties.
type Intervals struct {
	Gossip     estate.Duration `json:"gossip,omitzero"`
	LoadReport estate.Duration `json:"load_report,omitzero"`
	KeepAlive  estate.Duration `json:"keep_alive,omitzero"`
	// LimitReports is the period between two reports by which instances divide the limits
	// of client accounts. An instance becomes ready after four periods.
	LimitReports estate.Duration `json:"limits,omitzero"`
	// UnreadyTime is the time between becoming unready and closing the listeners in a
	// planned stop, so that the load balancer notices first.
	UnreadyTime estate.Duration `json:"unready,omitzero"`
}
