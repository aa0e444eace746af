package objectstore

// InstancesPath is the path of the instance list in the platform's HTTP interface.
const InstancesPath = "/v1/instances"

// InstanceState is the state of an instance according to the platform.
type InstanceState string

// The states in the instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list, which may be outdated.
type Instance struct {
	Name       string        `json:"name"`
	Address    string        `json:"address"`
	DataCentre string        `json:"data_centre"`
	State      InstanceState `json:"state"`
	// Role is "entry" or "backend-server".
	Role string `json:"role"`
}

// InstanceList is the response body of the instance list.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}
