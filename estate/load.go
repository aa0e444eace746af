package estate

import "github.com/wisteriahaven/wisteriahaven/document"

// Load reads the configuration from a file of JSON with comments and validates
// all of it. The error is document.Problems, each with its path and line, or a
// *fault.Error of code SettingsInvalid when the file can't be read.
func Load(path string) (Configuration, error) {
	parsed, err := document.Load(path)
	if err != nil {
		return Configuration{}, err
	}
	return decode(parsed)
}

// Parse reads and validates a configuration in memory like Load; file appears in
// problems only.
func Parse(file string, data []byte) (Configuration, error) {
	parsed, err := document.Parse(file, data)
	if err != nil {
		return Configuration{}, err
	}
	return decode(parsed)
}

func decode(parsed *document.Document) (Configuration, error) {
	var configuration Configuration
	problems := parsed.Decode(&configuration)
	if len(problems) == 0 {
		problems = parsed.Locate(Validate(&configuration))
	}
	return configuration, problems.Err()
}
