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

// localDrainWriteInterval is the wait between two attempts to write.
const localDrainWriteInterval = 2 * time.Second

// WriteLocalDrains writes the local drains to the platform until the context ends.
// Run it as a duty.
func (x *Executor) WriteLocalDrains(ctx context.Context) {
	for x.options.Pause(ctx, localDrainWriteInterval) {
		x.writeLocalDrains(ctx)
	}
}

// writeLocalDrains makes one attempt to write each local drain and removes those
// that have expired. It stops when the platform can't be read.
func (x *Executor) writeLocalDrains(ctx context.Context) {
	for _, localDrain := range x.options.LocalDrains.All() {
		if !x.options.Now().Before(localDrain.Expires) {
			x.removeLocalDrain(localDrain, event.LocalDrainEnded, "it expired")
			continue
		}
		snapshot, err := x.options.Configurations.Load(ctx)
		if err != nil {
			return
		}
		x.writeLocalDrain(ctx, localDrain, snapshot)
	}
}

// writeLocalDrain writes a local drain to the configuration. It removes the
// local drain only once a revision that contains the drain is in force on this
// instance, so that the drain is in effect without a gap.
func (x *Executor) writeLocalDrain(ctx context.Context, localDrain dump.LocalDrain, snapshot configstore.Snapshot) {
	if _, applied := snapshot.FindCommand(localDrain.CommandID); applied {
		x.removeIfInForce(localDrain, snapshot, "it is in the configuration")
		return
	}
	if conflict := conflictReason(localDrain, snapshot); conflict != "" {
		x.removeLocalDrain(localDrain, event.LocalDrainEnded, conflict)
		return
	}
	next := withLocalDrain(localDrain, snapshot.Configuration)
	if command.Equal(snapshot.Configuration, next) {
		x.removeIfInForce(localDrain, snapshot, "the configuration already contains it")
		return
	}
	described := configstore.Command{ID: localDrain.CommandID, Digest: localDrain.Digest, Operator: localDrain.Operator, Text: localDrainText(localDrain), Time: x.options.Now().UTC()}
	// The next attempt finds the command applied, or writes it again.
	_, _ = x.options.Configurations.Commit(ctx, snapshot.Configuration, next, described)
}

// removeIfInForce removes a written local drain when the snapshot's revision is
// in force on this instance; until then only the local drain is in effect.
func (x *Executor) removeIfInForce(localDrain dump.LocalDrain, snapshot configstore.Snapshot, reason string) {
	current := x.options.Current.Current()
	if current != nil && current.Revision >= snapshot.Configuration.Revision {
		x.removeLocalDrain(localDrain, event.LocalDrainWritten, reason)
	}
}

func (x *Executor) removeLocalDrain(localDrain dump.LocalDrain, definition event.Definition, reason string) {
	x.options.LocalDrains.Remove(localDrain.CommandID)
	if x.options.Announcer != nil {
		x.options.Announcer.Withdraw(localDrain)
	}
	event.Log(x.options.Logger, definition).
		Str("operator", localDrain.Operator).Str("command_id", localDrain.CommandID).Str("command", localDrainText(localDrain)).Str("reason", reason).Send()
}

// conflictReason returns the reason why a newer revision conflicts with a local
// drain, "" when none does: the object is no longer declared, another command
// drained, undrained or replaced it after the local drain's revision, or the
// history does not cover that revision.
func conflictReason(localDrain dump.LocalDrain, snapshot configstore.Snapshot) string {
	if len(estate.Validate(withLocalDrain(localDrain, snapshot.Configuration))) > 0 {
		return "the object is no longer declared"
	}
	if !snapshot.HistoryCovers(localDrain.ReadRevision) {
		return "the history does not cover the revision of the local drain"
	}
	for _, applied := range snapshot.History {
		if applied.Revision > localDrain.ReadRevision && affects(applied.Text, localDrain.Drain) {
			return "the newer command " + applied.ID + " affects the same object"
		}
	}
	return ""
}

// affects reports whether a command of the history changes the drain of the
// object. A command whose text is missing or can't be parsed is assumed to.
func affects(text string, object estate.Drain) bool {
	parsed, err := command.ParseOne(text)
	if err != nil {
		return true
	}
	return parsed.Apply != nil || (parsed.Drain != nil && parsed.Drain.Object() == object)
}

func localDrainText(localDrain dump.LocalDrain) string {
	verb := "drain"
	if localDrain.Undrain {
		verb = "undrain"
	}
	return verb + " " + localDrain.Drain.Kind + " " + localDrain.Drain.Name + " --local"
}
