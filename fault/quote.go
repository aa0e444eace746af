package fault

import "strconv"

// maxQuotedBytes is the size in bytes up to which a foreign text is quoted whole.
const maxQuotedBytes = 64

// Quote returns a foreign text for the reason of an error as a quoted string; of a long text its beginning and its size in
// bytes. Errors are logged and kept, so that their size must not be the sender's choice.
func Quote(text string) string {
	if len(text) <= maxQuotedBytes {
		return strconv.Quote(text)
	}
	return strconv.Quote(text[:maxQuotedBytes]) + "... of " + strconv.Itoa(len(text)) + " bytes"
}
