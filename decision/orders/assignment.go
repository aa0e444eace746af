package orders

// Assignment is the model version that an engine serves; the zero value is
// none.
type Assignment struct {
	Model   string
	Version string
}

// None reports whether there is no assignment.
func (a Assignment) None() bool { return a.Model == "" }
