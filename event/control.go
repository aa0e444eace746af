package event

import "github.com/rs/zerolog"

// Events of membership, configuration and orders, numbered from 5000.
var (
	ConfigurationInForce     = Definition{5000, "configuration_in_force", zerolog.InfoLevel, "a newer revision of the configuration is in force", "none"}
	MemberChanged            = Definition{5001, "member_changed", zerolog.InfoLevel, "another instance is alive, suspect, dead or leaving", "none, unless many change at once: check the link"}
	MemberRemoved            = Definition{5002, "member_forgotten", zerolog.InfoLevel, "a dead instance was dropped from the view", "none"}
	MemberRefuted            = Definition{5003, "member_refuted", zerolog.WarnLevel, "others held this instance for suspect or dead and it corrected them", "if it repeats, check the instance's processor and link"}
	InstancePaused           = Definition{5004, "instance_paused", zerolog.WarnLevel, "this instance did not run for a while", "check the machine"}
	NoticeChanged            = Definition{5005, "notice_changed", zerolog.InfoLevel, "a leaving mark or a quarantine began or ended", "none"}
	ConfigurationFetchFailed = Definition{5006, "configuration_fetch_failed", zerolog.WarnLevel, "a revision could not be read from the platform or an instance", "none while it is retried; check the platform if it repeats on many instances"}
	InstanceListFailed       = Definition{5007, "instance_list_failed", zerolog.WarnLevel, "the platform's instance list could not be read", "check the platform; the instances go on with what they tell each other"}
)

var controlEvents = []Definition{
	ConfigurationInForce,
	MemberChanged, MemberRemoved, MemberRefuted, InstancePaused, NoticeChanged,
	ConfigurationFetchFailed, InstanceListFailed,
}
