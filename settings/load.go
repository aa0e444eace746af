package settings

import "github.com/wisteriahaven/wisteriahaven/document"

// Load reads the settings from a file of JSON with comments, validates them and fills
// in defaults. The error is document.Problems, each with its path and line.
func Load(path string) (Settings, error) {
	parsed, err := document.Load(path)
	if err != nil {
		return Settings{}, err
	}
	return decode(parsed)
}

// Parse is Load for data in memory; file is only the name in problems.
func Parse(file string, data []byte) (Settings, error) {
	parsed, err := document.Parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	return decode(parsed)
}

func decode(parsed *document.Document) (Settings, error) {
	var settings Settings
	problems := parsed.Decode(&settings)
	if len(problems) == 0 {
		problems = parsed.Locate(Validate(settings))
	}
	return settings.WithDefaults(), problems.Err()
}
