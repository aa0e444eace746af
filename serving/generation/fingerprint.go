package generation

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// contentFingerprint identifies the content of a request for the guard.
func contentFingerprint(request serving.GenerationRequest) serving.Fingerprint {
	digest := xxhash.New()
	for _, field := range []string{request.Service.Name, request.Model, request.Prompt} {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	return serving.Fingerprint(digest.Sum64())
}
