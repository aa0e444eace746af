package controlfleet

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/configspread"
	"github.com/wisteriahaven/wisteriahaven/decision/membership"
)

// callTimeout is the time after which a call without an answer fails.
const callTimeout = time.Second

// stepConfiguration passes one input to an instance's configuration machine and carries out
// the resulting actions.
func (f *Fleet) stepConfiguration(instance *Instance, input configspread.Input) {
	for _, action := range instance.Configuration.Step(f.net.Now(), input) {
		switch action.Kind {
		case configspread.ActionApply:
			instance.InForceAt[action.Revision] = f.net.Now()
			f.StepMembership(instance, membership.SetRevision{Revision: action.Revision})
		case configspread.ActionWatch:
			f.PlatformReads++
			instance.watching, instance.watchedRevision = true, action.Revision
		case configspread.ActionStopWatch:
			instance.watching = false
			f.reply(instance, 0, configspread.WatchEnded{Failed: true})
		case configspread.ActionFetch:
			f.fetch(instance, action.Source)
		}
	}
}

func (f *Fleet) reply(instance *Instance, delay time.Duration, input configspread.Input) {
	f.net.At(f.net.Now().Add(delay), instance.Peer.Instance, answer{input: input})
}

// fetch answers a fetch with the revision that the source has now; an empty source
// is the platform.
func (f *Fleet) fetch(instance *Instance, source string) {
	if source == "" {
		f.PlatformReads++
	}
	if !f.Reaches(instance.Peer.Instance, source) {
		f.reply(instance, callTimeout, configspread.Fetched{Failed: true})
		return
	}
	if source == "" {
		f.reply(instance, 2*platformDelay+transferDelay, configspread.Fetched{Revision: f.AcceptedRevision})
		return
	}
	delay := 2*f.linkDelay(instance.Peer.Instance, source) + transferDelay
	f.reply(instance, delay, configspread.Fetched{Revision: f.Instances[source].Configuration.Revision()})
}

// serveWatch ends an open watch if there is a newer revision or the platform can't
// be reached.
func (f *Fleet) serveWatch(instance *Instance) {
	switch {
	case !instance.watching:
	case !f.Reaches(instance.Peer.Instance, ""):
		instance.watching = false
		f.reply(instance, 0, configspread.WatchEnded{Failed: true})
	case f.AcceptedRevision > instance.watchedRevision:
		instance.watching = false
		f.reply(instance, platformDelay, configspread.WatchEnded{Revision: f.AcceptedRevision})
	}
}

// AcceptRevision makes the platform accept a new revision and returns its number.
func (f *Fleet) AcceptRevision() uint64 {
	f.AcceptedRevision++
	return f.AcceptedRevision
}

// OpenWatches returns the number of open watches of a data centre.
func (f *Fleet) OpenWatches(centre string) int {
	count := 0
	for _, name := range f.Names {
		if instance := f.Instances[name]; instance.Peer.DataCentre == centre && instance.Watching() {
			count++
		}
	}
	return count
}

// Outdated returns the names of the running instances that reach the platform but
// don't have the newest revision.
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
