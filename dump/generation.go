package dump

// Generation is one generation in progress on an instance.
type Generation struct {
	RequestID     string `json:"request_id"`
	ClientAccount string `json:"client_account"`
	Service       string `json:"service"`
	Model         string `json:"model"`
	Version       string `json:"version"`
	Server        string `json:"server"`
	Attempt       int    `json:"attempt"`
	// Tokens counts the delivered tokens.
	Tokens int `json:"tokens"`
}
