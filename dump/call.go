package dump

// Call is one call to a plain service in progress on an instance.
type Call struct {
	RequestID     string `json:"request_id"`
	ClientAccount string `json:"client_account"`
	Service       string `json:"service"`
	Operation     string `json:"operation"`
	Server        string `json:"server"`
	State         string `json:"state"`
}
