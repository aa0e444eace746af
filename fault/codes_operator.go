package fault

import "net/http"

// Failures of operator commands and settings.
const (
	CommandSyntax         Code = "command_syntax"
	CommandConflict       Code = "command_conflict"
	CommandOutcomeUnknown Code = "command_outcome_unknown"
	CommandInvalid        Code = "command_invalid"
	CommandForbidden      Code = "command_forbidden"
	NotApplied            Code = "not_applied"
	SettingsInvalid       Code = "settings_invalid"
)

var operatorDefinitions = map[Code]Definition{
	CommandSyntax:         {http.StatusBadRequest, "the command does not parse", "correct it at the given line and column"},
	CommandConflict:       {http.StatusConflict, "the configuration changed since it was read", "read it again and repeat the command"},
	CommandOutcomeUnknown: {http.StatusBadGateway, "the command may have been applied", "repeat it with the same id"},
	CommandInvalid:        {http.StatusUnprocessableEntity, "the command names something that does not exist or clashes", "correct the command"},
	CommandForbidden:      {http.StatusForbidden, "the token's role does not allow the command", "use a token with the needed role"},
	NotApplied:            {http.StatusServiceUnavailable, "the change was not applied", "repeat it when the platform is back"},
	SettingsInvalid:       {http.StatusUnprocessableEntity, "the settings are not valid", "correct the named field"},
}
