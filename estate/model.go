package estate

// Model is a named model with its declared versions.
type Model struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions"`
	// DefaultVersion is the version for requests that name none.
	DefaultVersion string `json:"default_version"`
}
