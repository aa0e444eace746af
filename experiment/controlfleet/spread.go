package controlfleet

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/configspread"
	"github.com/wisteriahaven/wisteriahaven/decision/membership"
)

// callTimeout is the time after which a call without an answer fails.
const callTimeout = time.Second

// spread feeds one input to an instance's configuration and carries out the
// actions.
func (f *Fleet) spread(instance *Instance, input configspread.Input) {
	for _, action := range instance.Configuration.Step(f.net.Now(), input) {
		switch action.Kind {
		case configspread.ActionApply:
			instance.InForceAt[action.Revision] = f.net.Now()
			f.StepMembership(instance, membership.SetRevision{Revision: action.Revision})
		case configspread.ActionWatch:
			f.PlatformReads++
			instance.watching, instance.watched = true, action.Revision
		case configspread.ActionStopWatch:
			instance.watching = false
			f.reply(instance, 0, configspread.WatchEnded{Failed: true})
		case configspread.ActionFetch:
			f.fetch(instance, action.Source)
		}
	}
}

func (f *Fleet) reply(instance *Instance, wait time.Duration, input configspread.Input) {
	f.net.At(f.net.Now().Add(wait), instance.Peer.Instance, answer{input: input})
}

// fetch answers with what the source holds now.
func (f *Fleet) fetch(instance *Instance, source string) {
	if source == "" {
		f.PlatformReads++
	}
	if !f.Reaches(instance.Peer.Instance, source) {
		f.reply(instance, callTimeout, configspread.Fetched{Failed: true})
		return
	}
	if source == "" {
		f.reply(instance, 2*platformDelay+bodyDelay, configspread.Fetched{Revision: f.AcceptedRevision})
		return
	}
	wait := 2*f.linkDelay(instance.Peer.Instance, source) + bodyDelay
	f.reply(instance, wait, configspread.Fetched{Revision: f.Instances[source].Configuration.Revision()})
}

// serveWatch answers a waiting watch when the head changed or the link broke.
func (f *Fleet) serveWatch(instance *Instance) {
	switch {
	case !instance.watching:
	case !f.Reaches(instance.Peer.Instance, ""):
		instance.watching = false
		f.reply(instance, 0, configspread.WatchEnded{Failed: true})
	case f.AcceptedRevision > instance.watched:
		instance.watching = false
		f.reply(instance, platformDelay, configspread.WatchEnded{Revision: f.AcceptedRevision})
	}
}

// Accept lets the platform accept a new revision.
func (f *Fleet) AcceptRevision() uint64 {
	f.AcceptedRevision++
	return f.AcceptedRevision
}

// Watches returns the waiting watches of a data centre.
func (f *Fleet) OpenWatches(centre string) int {
	count := 0
	for _, name := range f.Names {
		if instance := f.Instances[name]; instance.Peer.DataCentre == centre && instance.Watching() {
			count++
		}
	}
	return count
}

// Behind returns the running instances that reach the platform and lack the
// newest revision.
func (f *Fleet) Outdated() []string {
	var names []string
	for _, name := range f.Names {
		instance := f.Instances[name]
		if !instance.Stopped && f.Reaches(name, "") && instance.Configuration.Revision() != f.AcceptedRevision {
			names = append(names, name)
		}
	}
	return names
}
