package objectstore

// InstancesPath is the path of the instance list's HTTP interface.
const InstancesPath = "/v1/instances"

// InstanceState is what the platform says about an instance.
type InstanceState string

// The states in the instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list, which lags.
type Instance struct {
	Name       string        `json:"name"`
	Address    string        `json:"address"`
	DataCentre string        `json:"data_centre"`
	State      InstanceState `json:"state"`
	// Role is "entry" or "backend-server".
	Role string `json:"role"`
}

// InstanceList is the answer of the instance list.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}
