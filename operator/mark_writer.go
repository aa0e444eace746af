package operator

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/event"
)

// markPoll is the wait between two tries to write the marks.
const markPoll = 2 * time.Second

// WriteMarks writes the local marks to the platform until the context ends.
// Run it as a duty.
func (x *Executor) WriteLocalDrains(ctx context.Context) {
	for x.parts.Pause(ctx, markPoll) {
		x.writeMarks(ctx)
	}
}

// writeMarks makes one try for each mark.
func (x *Executor) writeMarks(ctx context.Context) {
	for _, mark := range x.parts.LocalDrains.All() {
		if !x.parts.Now().Before(mark.Expires) {
			x.endMark(mark, event.LocalDrainEnded, "it expired")
			continue
		}
		snapshot, err := x.parts.Configurations.Load(ctx)
		if err != nil {
			return
		}
		x.writeMark(ctx, mark, snapshot)
	}
}

// writeMark writes a mark to the configuration and ends it once the revision
// that says the same is in force here, so that the drain holds throughout.
func (x *Executor) writeMark(ctx context.Context, mark dump.LocalDrain, snapshot configstore.Snapshot) {
	if _, applied := snapshot.FindCommand(mark.CommandID); applied {
		x.endMarkInForce(mark, snapshot, "it is in the configuration")
		return
	}
	if reason := disagreement(mark, snapshot); reason != "" {
		x.endMark(mark, event.LocalDrainEnded, reason)
		return
	}
	next := withMark(mark, snapshot.Configuration)
	if command.Equal(snapshot.Configuration, next) {
		x.endMarkInForce(mark, snapshot, "the configuration already says so")
		return
	}
	described := configstore.Command{ID: mark.CommandID, Digest: mark.Digest, Operator: mark.Operator, Text: markText(mark), Time: x.parts.Now().UTC()}
	// The next try finds the command applied, or writes again.
	_, _ = x.parts.Configurations.Commit(ctx, snapshot.Configuration, next, described)
}

// endMarkInForce ends a written mark when the snapshot's revision is in force on
// this instance; before that the mark alone keeps new work away.
func (x *Executor) endMarkInForce(mark dump.LocalDrain, snapshot configstore.Snapshot, reason string) {
	current := x.parts.Current.Current()
	if current != nil && current.Revision >= snapshot.Configuration.Revision {
		x.endMark(mark, event.LocalDrainWritten, reason)
	}
}

func (x *Executor) endMark(mark dump.LocalDrain, definition event.Definition, reason string) {
	x.parts.LocalDrains.Remove(mark.CommandID)
	if x.parts.Announcer != nil {
		x.parts.Announcer.Withdraw(mark)
	}
	event.Log(x.parts.Logger, definition).
		Str("operator", mark.Operator).Str("command_id", mark.CommandID).Str("command", markText(mark)).Str("reason", reason).Send()
}

// disagreement says why a newer revision disagrees with a mark, "" when none
// does: the object is gone, or another command drained, undrained or replaced
// it after the mark's revision.
func disagreement(mark dump.LocalDrain, snapshot configstore.Snapshot) string {
	if len(estate.Validate(withMark(mark, snapshot.Configuration))) > 0 {
		return "the object is no longer declared"
	}
	if !snapshot.HistoryCovers(mark.ReadRevision) {
		return "the history does not reach back to the mark's revision"
	}
	for _, applied := range snapshot.History {
		if applied.Revision > mark.ReadRevision && concerns(applied.Text, mark.Drain) {
			return "the newer command " + applied.ID + " concerns the same object"
		}
	}
	return ""
}

// concerns reports whether a command of the history decided about the object.
// A command without a text is taken to do so.
func concerns(text string, object estate.Drain) bool {
	parsed, err := command.ParseOne(text)
	if err != nil {
		return true
	}
	return parsed.Apply != nil || (parsed.Drain != nil && parsed.Drain.Object() == object)
}

func markText(mark dump.LocalDrain) string {
	verb := "drain"
	if mark.Undrain {
		verb = "undrain"
	}
	return verb + " " + mark.Drain.Kind + " " + mark.Drain.Name + " --local"
}
