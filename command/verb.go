package command

import "github.com/wisteriahaven/wisteriahaven/settings"

// verb describes one command for help, the reference page and the role check.
type verb struct {
	name    string
	syntax  []string
	meaning string
	details string
	role    settings.Role
	changes bool
	example string
}

// catalogue lists every command.
var catalogue = []verb{
	{
		name: "show", role: settings.RoleRead,
		syntax:  []string{"show <kind> [where <column> <comparison> <value> [and ...]] [sort <column> [asc|desc]] [limit <n>]"},
		meaning: "Lists the objects of a kind.",
		details: "Comparisons are = != < <= > >= and ~ (contains). A value that holds spaces is put in double quotes. Kinds of running state are gathered from the instances; instances that did not answer are listed.",
		example: "show client-accounts where firm = landesamt and weight >= 2 sort weight desc limit 5",
	},
	{
		name: "explain", role: settings.RoleRead,
		syntax:  []string{"explain request|generation|backend-server|client-account|revision <id>"},
		meaning: "Shows why a decision was made.",
		details: "Asks every instance for its recorded decisions. For a client account they give the reason why its share of a limit grew or shrank. A caller finds the id of its request in the X-Request-Id header of the response.",
		example: "explain backend-server auskunft-07",
	},
	{
		name: "admit", role: settings.RoleAdmit, changes: true,
		syntax:  []string{"admit firm from <file> [if revision <n>]"},
		meaning: "Adds a firm with its client accounts, rules and all else that the file declares.",
		details: "The whole file is checked (duplicate names, quotas, unknown models) and applied completely or not at all.",
		example: "admit firm from examples/bavaria/zimt-kosmetik.json",
	},
	{
		name: "drain", role: settings.RoleOperate, changes: true,
		syntax:  []string{"drain backend-server|instance|data-centre <name> [--local] [if revision <n>]"},
		meaning: "Sends no new work to the object; running work finishes.",
		details: "With --local, and only while the platform is unavailable, the command sets a local drain, which is valid in this data centre only, expires, and is shown as not persisted.",
		example: "drain backend-server auskunft-07",
	},
	{
		name: "undrain", role: settings.RoleOperate, changes: true,
		syntax:  []string{"undrain backend-server|instance|data-centre <name> [--local] [if revision <n>]"},
		meaning: "Lifts a drain.",
		example: "undrain data-centre kempten-1",
	},
	{
		name: "shift", role: settings.RoleOperate, changes: true,
		syntax:  []string{"shift <percent> of model <model> from <region> to <region> [if revision <n>]"},
		meaning: "Sends a part of a model's load from one region to another.",
		details: "The percentage applies to the load that arises in the first region; 0 ends the shift. Rules apply to shifted load as to any other.",
		example: "shift 20% of model auskunft from Oberbayern to Franken",
	},
	{
		name: "set", role: settings.RoleOperate, changes: true,
		syntax:  []string{"set <kind>/<name>/<field> <value> [if revision <n>]"},
		meaning: "Changes one field of one object.",
		details: "The kind is firm, client-account, model, service, rule or backend-server; a nested field is written with a dot, as in limits.requests_per_second. A list is written [a, b]. Firms, rules and keys need the role admit.",
		example: "set client-account/jahresbericht/limits.requests_per_second 10",
	},
	{
		name: "diff", role: settings.RoleRead,
		syntax:  []string{"diff <file>"},
		meaning: "Lists what applying the file would change.",
		example: "diff examples/bavaria/estate.json",
	},
	{
		name: "apply", role: settings.RoleAdmit, changes: true,
		syntax:  []string{"apply <file> [if revision <n>]"},
		meaning: "Replaces the whole configuration by the file.",
		details: "The whole file is checked and applied completely or not at all.",
		example: "apply examples/bavaria/estate.json if revision 12",
	},
	{
		name: "release", role: settings.RoleOperate,
		syntax:  []string{"release <fingerprint>"},
		meaning: "Lets a quarantined request run again.",
		example: "release 9f86d081884c7d65",
	},
	{
		name: "help", role: settings.RoleRead,
		syntax:  []string{"help [<command>]"},
		meaning: "Lists all commands, or explains one.",
		example: "help shift",
	},
}

func verbNames() []string {
	names := make([]string, len(catalogue))
	for i, verb := range catalogue {
		names[i] = verb.name
	}
	return names
}

func lookupVerb(name string) (verb, bool) {
	for _, verb := range catalogue {
		if verb.name == name {
			return verb, true
		}
	}
	return verb{}, false
}

// Verb returns the name of the command, its first word.
func (c *Command) Verb() string {
	switch {
	case c.Show != nil:
		return "show"
	case c.Explain != nil:
		return "explain"
	case c.Admit != nil:
		return "admit"
	case c.Drain != nil:
		return c.Drain.Verb
	case c.Shift != nil:
		return "shift"
	case c.Set != nil:
		return "set"
	case c.Diff != nil:
		return "diff"
	case c.Apply != nil:
		return "apply"
	case c.Release != nil:
		return "release"
	default:
		return "help"
	}
}

// IsChange reports whether the command changes the configuration.
func (c *Command) IsChange() bool {
	verb, _ := lookupVerb(c.Verb())
	return verb.changes
}

// Role returns the role that the command requires.
func (c *Command) Role() settings.Role {
	if c.Set != nil && c.Set.needsAdmit() {
		return settings.RoleAdmit
	}
	verb, _ := lookupVerb(c.Verb())
	return verb.role
}
