package ctl_test

import (
	"bytes"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/ctl"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/entry"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/operatorclient"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/standin/loopback"
	"github.com/wisteriahaven/wisteriahaven/standin/objectapi"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

const (
	sessionPage = "docs/operations/example-session.md"
	waitInForce = 10 * time.Second
)

// startBavaria runs the example estate on loopback addresses.
func startBavaria(t *testing.T) *loopback.Estate {
	t.Helper()
	t.Chdir("..")
	estate, err := loopback.Start(loopback.Options{
		Directory: "examples/bavaria",
		Logger:    zerolog.Nop(),
		Engine:    engine.Settings{TokenTime: 5 * time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(estate.Stop)
	return estate
}

// terminal is what an operator sees.
type terminal struct {
	*ctl.Session
	out  *bytes.Buffer
	errs *bytes.Buffer
}

func newTerminal(estate *loopback.Estate, operator string) terminal {
	return newTerminalWaiting(estate, operator, waitInForce)
}

func newTerminalWaiting(estate *loopback.Estate, operator string, wait time.Duration) terminal {
	var addresses []string
	for _, instance := range estate.Entries {
		addresses = append(addresses, instance.Addresses().Operators)
	}
	screen := terminal{out: &bytes.Buffer{}, errs: &bytes.Buffer{}}
	screen.Session = ctl.NewSession(ctl.Options{
		Addresses: addresses, Token: "example-bavaria-operator-" + operator, Output: ctl.OutputTable, Wait: wait,
		Writer: screen.out, ErrorWriter: screen.errs,
	})
	return screen
}

// ask streams one answer through the first instance. It ends the engine that
// runs it after a few tokens when that is wanted.
func ask(t *testing.T, estate *loopback.Estate, prompt string, endEngine bool) client.Answer {
	t.Helper()
	calls := client.New(client.Options{Addresses: estate.CallerAddresses()[:1], Key: "example-bavaria-aussendienst-franken"})
	generation := client.Generation{
		CompletionBody: caller.CompletionBody{Model: "auskunft", Prompt: prompt, MaxTokens: 60},
		IdempotencyKey: prompt,
		SendDelivered:  true,
	}
	answer, err := calls.Generate(t.Context(), generation, func(offset int, _ string) {
		if offset == 20 && endEngine {
			for _, candidate := range estate.Engines {
				if candidate.RunningStreams() > 0 {
					candidate.Kill()
				}
			}
		}
	})
	if err != nil || len(answer.Tokens) != 60 {
		t.Fatalf("%d tokens, %v", len(answer.Tokens), err)
	}
	return answer
}

// TestOperationsScript runs the example script against the running example
// estate and compares the output with the recorded session.
func TestOperationsScript(t *testing.T) {
	is := is.New(t)
	estate := startBavaria(t)
	plain := ask(t, estate, "Summarize the recall of batch 1187.", false)
	resumed := ask(t, estate, "Audit shelf 4 of the counter in Bamberg.", true)
	script, err := os.ReadFile("examples/bavaria/operations.wh")
	is.NoErr(err)
	screen := newTerminal(estate, "leitung")
	ids := []string{"request=" + plain.RequestIDs[0], "resumed=" + resumed.RequestIDs[0]}
	code := screen.RunScript(t.Context(), ctl.Substitute(string(script), ids))
	t.Log(screen.errs.String())
	is.Equal(code, ctl.ExitOK)
	if *update {
		is.NoErr(os.WriteFile(sessionPage, []byte(sessionHeader+screen.out.String()+"```\n"), 0o644))
	}
	recorded, err := os.ReadFile(sessionPage)
	is.NoErr(err)
	_, session, _ := strings.Cut(string(recorded), "```\n")
	is.Equal(stable(strings.TrimSuffix(session, "```\n")), stable(screen.out.String()))
	is.True(strings.Count(section(screen.out.String(), "> explain generation"), "auskunft-") >= 2)                  // the engine that ended and another
	is.True(strings.Contains(section(screen.out.String(), "> explain client-account"), "requests-per-second 0 to")) // a share
	server := section(screen.out.String(), "> explain backend-server")
	is.True(strings.Contains(server, "the backend-server auskunft-07 is drained"))
	is.Equal(strings.Count(server, "state leaving"), len(estate.Entries))
}

const sessionHeader = `# A session against the example estate

The output of ` + "`examples/bavaria/operations.wh`" + ` against the stand-ins of
` + "`examples/bavaria`" + `: a newly bought firm is admitted, a fifth of a model's load is
shifted, a server is drained, and two requests are explained; the second one
lost its engine in the middle. A test runs the script again and compares.

` + "```\n"

var (
	variable = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z|\b[0-9a-f]{16}\b|\d+`)
	spaces   = regexp.MustCompile(` +`)
)

// stable removes what differs between two runs: times, ids, numbers, and the
// answers of explain.
func stable(output string) string {
	for _, command := range []string{"> explain backend-server", "> explain request", "> explain generation", "> explain client-account"} {
		output = strings.Replace(output, section(output, command), "", 1)
	}
	output = variable.ReplaceAllString(output, "N")
	return spaces.ReplaceAllString(output, " ")
}

// section returns the output of one command.
func section(output, command string) string {
	start := strings.Index(output, command)
	if start < 0 {
		return ""
	}
	end := strings.Index(output[start+1:], "\n> ")
	if end < 0 {
		return output[start:]
	}
	return output[start : start+1+end]
}

// TestRacingOperatorsAtAPrompt lets two operators change one client account
// after both read it.
func TestRacingOperatorsAtAPrompt(t *testing.T) {
	is := is.New(t)
	estate := startBavaria(t)
	first, second := newTerminal(estate, "betrieb"), newTerminal(estate, "leitung")
	const look = "show client-accounts where name = jahresbericht"
	is.Equal(first.Run(t.Context(), look), ctl.ExitOK)
	is.Equal(second.Run(t.Context(), look), ctl.ExitOK)
	is.Equal(first.Run(t.Context(), "set client-account/jahresbericht/weight 2"), ctl.ExitOK)
	is.Equal(second.Run(t.Context(), "set client-account/jahresbericht/weight 3"), ctl.ExitConflict)
	is.True(strings.Contains(second.errs.String(), "conflict: command_conflict: read revision"))
	is.Equal(second.Run(t.Context(), "set client-account/jahresbericht/weight 3"), ctl.ExitConflict) // until it is read again
	is.Equal(second.Run(t.Context(), look), ctl.ExitOK)
	is.Equal(second.Run(t.Context(), "set client-account/jahresbericht/weight 3"), ctl.ExitOK)
}

func TestRolesAndTokens(t *testing.T) {
	is := is.New(t)
	estate := startBavaria(t)
	reader := newTerminal(estate, "auskunft-dienst")
	is.Equal(reader.Run(t.Context(), "show rules"), ctl.ExitOK)
	is.Equal(reader.Run(t.Context(), "drain backend-server auskunft-01"), ctl.ExitRejected)
	is.Equal(newTerminal(estate, "betrieb").Run(t.Context(), "admit firm from examples/bavaria/zimt-kosmetik.json"), ctl.ExitRejected)
	is.Equal(newTerminal(estate, "nobody").Run(t.Context(), "show rules"), ctl.ExitRejected)
}

// TestAnAcceptanceListsWhereItIsNotInForce changes the estate while one
// instance does not answer.
func TestAnAcceptanceListsWhereItIsNotInForce(t *testing.T) {
	is := is.New(t)
	estate := startBavaria(t)
	last := estate.Entries[len(estate.Entries)-1]
	name := last.Dump(0).Instance
	last.Abort()
	operator := newTerminalWaiting(estate, "betrieb", time.Second)
	is.Equal(operator.Run(t.Context(), "set client-account/jahresbericht/weight 2"), ctl.ExitPending)
	is.True(strings.Contains(operator.out.String(), "in force on 8 of 9 instances"))
	is.True(strings.Contains(operator.out.String(), "not yet on instance "+name))
}

// TestADrainedInstanceIsNotReady drains an instance and lifts it again.
func TestADrainedInstanceIsNotReady(t *testing.T) {
	is := is.New(t)
	estate := startBavaria(t)
	operator := newTerminal(estate, "betrieb")
	name := estate.Entries[3].Dump(0).Instance
	is.Equal(operator.Run(t.Context(), "drain instance "+name), ctl.ExitOK)
	is.True(!estate.Entries[3].Ready())
	is.True(estate.Entries[4].Ready())
	operator.out.Reset()
	is.Equal(operator.Run(t.Context(), "show instances where state = drained"), ctl.ExitOK)
	is.True(strings.Contains(operator.out.String(), name))
	calls := client.New(client.Options{Addresses: estate.CallerAddresses()[3:4], Key: "example-bavaria-aussendienst-franken"})
	_, err := calls.Call(t.Context(), client.Call{Service: "bestand", Operation: "lookup", Body: []byte("{}")})
	is.NoErr(err) // what still reaches it is served
	is.Equal(operator.Run(t.Context(), "undrain instance "+name), ctl.ExitOK)
	is.True(estate.Entries[3].Ready())
}

// TestLostAnswersOfThePlatform changes the estate while the platform applies
// writes and loses their answers.
func TestLostAnswersOfThePlatform(t *testing.T) {
	is := is.New(t)
	estate := startBavaria(t)
	operator := newTerminal(estate, "betrieb")
	for weight, lost := range []int{1, 2, 3} {
		estate.ObjectAPI.SetFaults(objectapi.Faults{DropAnswers: lost})
		text := "set client-account/jahresbericht/weight " + strconv.Itoa(weight+2)
		is.Equal(operator.Run(t.Context(), text), ctl.ExitOK)
		operator.out.Reset()
		is.Equal(operator.Run(t.Context(), "show revisions where command ~ \""+text+"\""), ctl.ExitOK)
		is.True(strings.HasSuffix(operator.out.String(), "(1)\n")) // applied once
	}
}

// TestMarksSpreadByDigests sets a mark at one instance alone and sees it at the
// other one of its data centre, and at no other.
func TestMarksSpreadByDigests(t *testing.T) {
	is := is.New(t)
	estate := startBavaria(t)
	estate.ObjectAPI.SetFaults(objectapi.Faults{Outage: true})
	instances := make(map[string]*entry.Entry)
	for _, instance := range estate.Entries {
		instances[instance.Dump(0).Instance] = instance
	}
	operator := operatorclient.New(instances["muenchen-1-a"].Addresses().Operators, "example-bavaria-operator-betrieb")
	defer operator.Close()
	marked, err := operator.Execute(t.Context(), operatorapi.Request{ID: "m1", Command: "drain backend-server auskunft-01 --local", Direct: true})
	is.NoErr(err)
	is.Equal(marked.Outcome, operatorapi.AppliedLocally)
	heard := func() []dump.LocalDrain { return instances["muenchen-1-b"].Dump(0).LocalDrains }
	for range 100 {
		if len(heard()) > 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(len(heard()), 1)
	is.Equal(heard()[0].CommandID, "m1")
	is.Equal(len(instances["kempten-1-a"].Dump(0).LocalDrains), 0)
}

// TestPlatformOutage drains locally while the platform is away and sees the
// drain written when it is back.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	estate := startBavaria(t)
	operator := newTerminal(estate, "betrieb")
	estate.ObjectAPI.SetFaults(objectapi.Faults{Outage: true})
	is.Equal(operator.Run(t.Context(), "set client-account/jahresbericht/weight 2"), ctl.ExitNotApplied)
	is.Equal(operator.Run(t.Context(), "drain data-centre "+estate.Entries[0].Dump(0).DataCentre+" --local"), ctl.ExitOK)
	is.True(strings.Contains(operator.out.String(), "not persisted"))
	is.Equal(len(estate.Entries[0].Dump(0).LocalDrains), 1)
	estate.ObjectAPI.SetFaults(objectapi.Faults{})
	for range 100 {
		if len(estate.Entries[0].Dump(0).LocalDrains) == 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	operator.out.Reset()
	is.Equal(operator.Run(t.Context(), "show drains"), ctl.ExitOK)
	is.True(strings.Contains(operator.out.String(), "data-centre"))
}
