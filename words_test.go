package wisteriahaven_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformWords matches the names that the users' platform has for its parts.
// Only the adapter and the deploy files may use them.
var platformWords = regexp.MustCompile(`Wisteriahaven-(Attempt|Deadline|Tenant|Expected|Response|Not-Executed|Server-Load|Kv|Request-Urgency|Model|Token|Prompt|Cache|Pin|Instance-Id)|Kv-From|Kv-Fetch|X-Api-Key|/api/(objects|report|readiness|kv-|hold-)|KvCache|StreamResumption|TrafficSplit|HealthCheckPath|\bWaitMs\b|AfterRevision|\bTenants?\b`)

// adapters are the folders that the test skips: those that may use the platform's
// names, and those without code of the project.
var adapters = []string{"platform", "deploy", "journal", "docs", ".git", "target"}

// TestPlatformWordsStopAtTheAdapter searches every Go file outside the adapter for
// the platform's names.
func TestPlatformWordsStopAtTheAdapter(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			for _, adapter := range adapters {
				if path == adapter {
					return filepath.SkipDir
				}
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || path == "words_test.go" {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if word := platformWords.Find(text); word != nil {
			t.Errorf("%s contains %q, which only the adapter may use", path, word)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
