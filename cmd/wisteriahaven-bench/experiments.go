package main

import (
	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/limits"
	"github.com/wisteriahaven/wisteriahaven/experiment/overhead"
	"github.com/wisteriahaven/wisteriahaven/experiment/routing"
	"github.com/wisteriahaven/wisteriahaven/experiment/survival"
)

// experiments lists every experiment, one a line in the order of their names.
var experiments = []experiment.Experiment{
	limits.Experiment,
	overhead.Experiment,
	routing.Experiment,
	survival.Experiment,
}
