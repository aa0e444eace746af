package partition

import "github.com/wisteriahaven/wisteriahaven/experiment/controlfleet"

// parts is what both parts showed, one sample a second.
type parts struct {
	cut    part
	rest   part
	behind float64
}

// part sums up the samples of the instances of one part.
type part struct {
	samples     float64
	whole       float64
	bare        float64
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
	case instance.Configuration.Revision() == 0:
		p.bare++
	case missing == 0:
		p.whole++
	}
}
