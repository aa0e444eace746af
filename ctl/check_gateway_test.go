package ctl_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/ctl"
)

// gatewaySettings are the settings of a gateway; NAME and PORT are placeholders
// for its name and the port of its listeners.
const gatewaySettings = `// filled in by a platform
{
  "instance": "NAME", "data_centre": "a", "region": "north",
  "gateway": {
    "clients": "127.0.0.1:PORT", "readiness": "127.0.0.2:PORT", "metrics": "127.0.0.3:PORT", "peers": "127.0.0.4:PORT",
    "store": "127.0.0.1:9", "seeds": [], "data_centres": [{"name": "a", "region": "north"}], "stop_seconds": 8
  }
}`

// checkGateways checks settings with the given names and ports, and returns the
// exit code and the output.
func checkGateways(t *testing.T, text string, instances ...[2]string) (int, string) {
	t.Helper()
	var files []string
	for i, instance := range instances {
		filled := bytes.ReplaceAll([]byte(text), []byte("NAME"), []byte(instance[0]))
		filled = bytes.ReplaceAll(filled, []byte("PORT"), []byte(instance[1]))
		file := filepath.Join(t.TempDir(), "instance-"+string(rune('a'+i))+".json")
		if err := os.WriteFile(file, filled, 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	var out, problems bytes.Buffer
	code := ctl.Check(files, &out, &problems)
	return code, out.String() + problems.String()
}

func TestCheckTakesSettingsOfAGateway(t *testing.T) {
	is := is.New(t)
	code, printed := checkGateways(t, gatewaySettings, [2]string{"one", "1001"})
	t.Log(printed)
	is.Equal(code, ctl.ExitOK)
	code, _ = checkGateways(t, gatewaySettings, [2]string{"one", "1001"}, [2]string{"two", "1002"})
	is.Equal(code, ctl.ExitOK)
	code, printed = checkGateways(t, gatewaySettings, [2]string{"one", "1001"}, [2]string{"two", "1001"})
	is.Equal(code, ctl.ExitUsage)
	is.True(bytes.Contains([]byte(printed), []byte("gateway.clients")))
}

func TestCheckNamesUnknownFieldsOfAGateway(t *testing.T) {
	is := is.New(t)
	wrong := string(bytes.ReplaceAll([]byte(gatewaySettings), []byte(`"readiness"`), []byte(`"readyness"`)))
	code, printed := checkGateways(t, wrong, [2]string{"one", "1001"})
	is.Equal(code, ctl.ExitUsage)
	is.True(bytes.Contains([]byte(printed), []byte("gateway.readyness: unknown field")))
}
