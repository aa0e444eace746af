package main

import (
	"fmt"
	"io"
	"os"

	"github.com/wisteriahaven/wisteriahaven/ctl"
	"github.com/wisteriahaven/wisteriahaven/platform/configcheck"
)

// ctlCheckCommand checks a configuration before it is sent.
type ctlCheckCommand struct {
	File    string `arg:"positional,required" help:"the configuration, as the store takes it; - for standard input"`
	InForce string `arg:"--in-force" help:"the configuration in force, to print what differs"`
}

// run prints the findings and returns ExitUsage if one of them is an error.
func (c *ctlCheckCommand) run(output string) int {
	document, err := readFileOrInput(c.File)
	if err != nil {
		return fail(err, ctl.ExitUsage)
	}
	var inForce []byte
	if c.InForce != "" {
		if inForce, err = readFileOrInput(c.InForce); err != nil {
			return fail(err, ctl.ExitUsage)
		}
	}
	found := configcheck.Check(document, inForce)
	if output == ctl.OutputJSON {
		ctl.WriteJSON(os.Stdout, struct {
			Findings []configcheck.Finding `json:"findings"`
		}{append([]configcheck.Finding{}, found...)})
	} else {
		for _, finding := range found {
			fmt.Printf("%-8s%s: %s\n", finding.Severity, finding.Field, finding.Reason)
		}
	}
	if configcheck.HasErrors(found) {
		return ctl.ExitUsage
	}
	return ctl.ExitOK
}

// readFileOrInput reads a file, or standard input for "-".
func readFileOrInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
