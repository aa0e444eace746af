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

// localDrainWriteInterval is the wait between two attempts to write the local
// drains.
const markPoll = 2 * time.Second

// WriteMarks writes the local drains to the platform until the context ends.
// Run it as a duty.
func (x *Executor) WriteMarks(ctx context.Context) {
	for x.parts.Pause(ctx, markPoll) {
		x.writeMarks(ctx)
	}
}

// writeLocalDrains makes one attempt to write each local drain and removes those
// that have expired. It stops when the platform can't be read.
func (x *Executor) writeMarks(ctx context.Context) {
	for _, mark := range x.parts.Marks.All() {
		if !x.parts.Now().Before(mark.Expires) {
			x.endMark(mark, event.MarkDropped, "it expired")
			continue
		}
		snapshot, err := x.parts.Configurations.Load(ctx)
		if err != nil {
			return
		}
		x.writeMark(ctx, mark, snapshot)
	}
}

// writeLocalDrain writes a local drain to the configuration. It removes the
// local drain only once a revision that contains the drain is in force on this
// instance, so that the drain is in effect without a gap.
func (x *Executor) writeMark(ctx context.Context, mark dump.LocalMark, snapshot configstore.Snapshot) {
	if _, applied := snapshot.Find(mark.CommandID); applied {
		x.endMarkInForce(mark, snapshot, "it is in the configuration")
		return
	}
	if reason := disagreement(mark, snapshot); reason != "" {
		x.endMark(mark, event.MarkDropped, reason)
		return
	}
	next := withMark(mark, snapshot.Configuration)
	if command.Equal(snapshot.Configuration, next) {
		x.endMarkInForce(mark, snapshot, "the configuration already contains it")
		return
	}
	described := configstore.Command{ID: mark.CommandID, Digest: mark.Digest, Operator: mark.Operator, Text: markText(mark), Time: x.parts.Now().UTC()}
	// The next attempt finds the command applied, or writes it again.
	_, _ = x.parts.Configurations.Commit(ctx, snapshot.Configuration, next, described)
}

// removeIfInForce removes a written local drain when the snapshot's revision is
// in force on this instance; before that only the local drain keeps new work
// away.
func (x *Executor) endMarkInForce(mark dump.LocalMark, snapshot configstore.Snapshot, reason string) {
	current := x.parts.Current.Current()
	if current != nil && current.Revision >= snapshot.Configuration.Revision {
		x.endMark(mark, event.MarkWritten, reason)
	}
}

func (x *Executor) endMark(mark dump.LocalMark, definition event.Definition, reason string) {
	x.parts.Marks.Remove(mark.CommandID)
	if x.parts.Announcer != nil {
		x.parts.Announcer.Withdraw(mark)
	}
	event.Log(x.parts.Logger, definition).
		Str("operator", mark.Operator).Str("command_id", mark.CommandID).Str("command", markText(mark)).Str("reason", reason).Send()
}

// conflictReason returns the reason why a newer revision conflicts with a local
// drain, "" when none does: the object is no longer declared, another command
// drained, undrained or replaced it after the local drain's revision, or the
// history does not cover that revision.
func disagreement(mark dump.LocalMark, snapshot configstore.Snapshot) string {
	if len(estate.Validate(withMark(mark, snapshot.Configuration))) > 0 {
		return "the object is no longer declared"
	}
	if !snapshot.Covers(mark.ReadRevision) {
		return "the history does not cover the revision of the local drain"
	}
	for _, applied := range snapshot.History {
		if applied.Revision > mark.ReadRevision && concerns(applied.Text, mark.Drain) {
			return "the newer command " + applied.ID + " affects the same object"
		}
	}
	return ""
}

// affects reports whether a command of the history changes the drain of the
// object. A command whose text is missing or can't be parsed is assumed to.
func concerns(text string, object estate.Drain) bool {
	parsed, err := command.ParseOne(text)
	if err != nil {
		return true
	}
	return parsed.Apply != nil || (parsed.Drain != nil && parsed.Drain.Object() == object)
}

func markText(mark dump.LocalMark) string {
	verb := "drain"
	if mark.Undrain {
		verb = "undrain"
	}
	return verb + " " + mark.Drain.Kind + " " + mark.Drain.Name + " --local"
}
