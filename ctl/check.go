package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/document"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// settingsFields lists the fields that only settings have at their top level.
var settingsFields = []string{"instance", "data_centre", "region", "listen", "platform", "keys", "seeds", "operators", "limits", "intervals", "gateway"}

// checker validates files, each alone and all together.
type checker struct {
	out       io.Writer
	errors    io.Writer
	instances []checkedSettings
	estates   []estate.Configuration
	failed    bool
}

// checkedSettings are valid settings with their document.
type checkedSettings struct {
	settings.Settings
	document *document.Document
}

// Check validates files of settings or of an estate, each alone and all
// together. It prints each problem with its file, line, column and path, and
// returns ExitUsage if there is any.
func Check(files []string, out, errors io.Writer) int {
	c := &checker{out: out, errors: errors}
	for _, file := range files {
		c.checkFile(file)
	}
	c.checkUnique()
	c.checkLocations()
	if c.failed {
		return ExitUsage
	}
	return ExitOK
}

func (c *checker) fail(err error) {
	if err != nil {
		c.failed = true
		_, _ = fmt.Fprintln(c.errors, err)
	}
}

// checkFile validates one file alone.
func (c *checker) checkFile(file string) {
	parsed, err := document.Load(file)
	if err != nil {
		c.fail(err)
		return
	}
	kind := "estate"
	if parsed.HasAnyField(settingsFields) {
		kind = "settings"
		err = c.loadSettings(file, parsed)
	} else {
		err = c.loadEstate(file)
	}
	if err != nil {
		c.fail(err)
		return
	}
	_, _ = fmt.Fprintf(c.out, "%s: valid %s\n", file, kind)
}

func (c *checker) loadSettings(file string, parsed *document.Document) error {
	loaded, err := settings.Load(file)
	if err != nil {
		return err
	}
	_ = parsed.Decode(&settings.Settings{}) // records the positions of the paths
	c.instances = append(c.instances, checkedSettings{loaded, parsed})
	return nil
}

func (c *checker) loadEstate(file string) error {
	loaded, err := estate.Load(file)
	if err == nil {
		c.estates = append(c.estates, loaded)
	}
	return err
}

// checkUnique reports names and addresses that two instances have in common.
// Addresses with port 0 are exempt.
func (c *checker) checkUnique() {
	owners := make(map[string]string)
	for _, instance := range c.instances {
		var problems document.Problems
		for _, value := range uniqueValues(instance.Settings) {
			if owner, taken := owners[value.key]; taken && !strings.HasSuffix(value.key, ":0") {
				problems.Add(value.path, "instance \""+owner+"\" has the same value")
			}
			owners[value.key] = instance.Instance
		}
		c.fail(instance.document.Locate(problems).Err())
	}
}

// uniqueValue is a name or an address that only one instance may have.
type uniqueValue struct{ path, key string }

// uniqueValues returns the values that no other instance may have. A gateway has
// other listeners than an entry instance.
func uniqueValues(s settings.Settings) []uniqueValue {
	values := []uniqueValue{{"instance", "instance " + s.Instance}}
	if gateway := s.Gateway; gateway != nil {
		return append(values,
			uniqueValue{"gateway.clients", "tcp " + gateway.Clients},
			uniqueValue{"gateway.readiness", "tcp " + gateway.Readiness},
			uniqueValue{"gateway.metrics", "tcp " + gateway.Metrics},
			uniqueValue{"gateway.peers", "tcp " + gateway.Peers},
		)
	}
	return append(values,
		uniqueValue{"listen.callers", "tcp " + s.Listen.Callers},
		uniqueValue{"listen.operators", "tcp " + s.Listen.Operators},
		uniqueValue{"listen.peers", "tcp " + s.Listen.Peers},
		uniqueValue{"listen.gossip", "udp " + s.Listen.Gossip},
	)
}

// checkLocations reports instances in an undeclared data centre or region.
func (c *checker) checkLocations() {
	for _, declared := range c.estates {
		for _, instance := range c.instances {
			var problems document.Problems
			switch declared.Region(instance.DataCentre) {
			case "":
				problems.Add("data_centre", "the estate declares no data centre \""+instance.DataCentre+"\"")
			case instance.Region:
			default:
				problems.Add("region", "the estate declares data centre \""+instance.DataCentre+"\" in region \""+declared.Region(instance.DataCentre)+"\"")
			}
			c.fail(instance.document.Locate(problems).Err())
		}
	}
}
