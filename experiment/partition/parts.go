package partition

import "github.com/wisteriahaven/wisteriahaven/experiment/controlfleet"

// parts holds the measurements of both parts, with one sample per second of each
// instance.
type parts struct {
	cut  part
	rest part
	// behind is the maximum number of instances that reach the platform but don't
	// have the newest revision.
	behind float64
}

// part holds the counts of the samples of all instances of one part.
type part struct {
	samples float64
	// whole counts samples with a configuration and the whole own data centre live.
	whole float64
	// bare counts samples without a configuration.
	bare float64
	// falselyGone is the sum of running instances not seen as live.
	falselyGone float64
}

func (p part) share() float64 { return p.whole / max(1, p.samples) }

func (p *parts) add(instance *controlfleet.Instance) {
	if instance.Peer.DataCentre == cutCentre {
		p.cut.add(instance)
		return
	}
	p.rest.add(instance)
}

func (p *part) add(instance *controlfleet.Instance) {
	missing := instances - len(instance.View().Live(instance.Peer.DataCentre))
	p.samples++
	p.falselyGone += float64(missing)
	switch {
	case instance.Spread.Revision() == 0:
		p.bare++
	case missing == 0:
		p.whole++
	}
}
