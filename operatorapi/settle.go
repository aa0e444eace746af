package operatorapi

import "strconv"

// SettleCommand returns the command line that repeats a command of unknown
// outcome under its id and the revision it was evaluated on.
func RepeatCommand(id string, readRevision uint64, text string) string {
	revision := ""
	if readRevision != 0 {
		revision = " --read-revision " + strconv.FormatUint(readRevision, 10)
	}
	return "wisteriahaven ctl --id " + id + revision + " '" + text + "'"
}
