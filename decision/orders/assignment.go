package orders

// Assignment is the model version that a server serves; the zero value is no
// version.
type Assignment struct {
	Model   string
	Version string
}

// None reports whether there is no assignment.
func (a Assignment) None() bool { return a.Model == "" }
