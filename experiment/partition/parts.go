package partition

import "github.com/wisteriahaven/wisteriahaven/experiment/controlfleet"

// parts holds the measurements of both parts, with one sample per second of each
// instance.
type parts struct {
	cutOff part
	rest   part
	// outdated is the maximum length of Fleet.Outdated.
	outdated float64
}

// part holds the counts of the samples of all instances of one part.
type part struct {
	samples      float64
	complete     float64 // with a configuration and the whole own data centre live
	unconfigured float64 // without a configuration
	notLive      float64 // running instances not seen as live, summed over the samples
}

func (p part) completeFraction() float64 { return p.complete / max(1, p.samples) }

func (p *parts) add(instance *controlfleet.Instance) {
	if instance.Peer.DataCentre == cutCentre {
		p.cutOff.add(instance)
		return
	}
	p.rest.add(instance)
}

func (p *part) add(instance *controlfleet.Instance) {
	missing := instances - len(instance.View().Live(instance.Peer.DataCentre))
	p.samples++
	p.notLive += float64(missing)
	switch {
	case instance.Configuration.Revision() == 0:
		p.unconfigured++
	case missing == 0:
		p.complete++
	}
}
