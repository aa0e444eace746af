package main

import (
	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/atmostonce"
	"github.com/wisteriahaven/wisteriahaven/experiment/configspread"
	"github.com/wisteriahaven/wisteriahaven/experiment/killingrequest"
	"github.com/wisteriahaven/wisteriahaven/experiment/leaving"
	"github.com/wisteriahaven/wisteriahaven/experiment/limits"
	"github.com/wisteriahaven/wisteriahaven/experiment/overhead"
	"github.com/wisteriahaven/wisteriahaven/experiment/partition"
	"github.com/wisteriahaven/wisteriahaven/experiment/resumecost"
	"github.com/wisteriahaven/wisteriahaven/experiment/resumelatency"
	"github.com/wisteriahaven/wisteriahaven/experiment/routing"
	"github.com/wisteriahaven/wisteriahaven/experiment/survival"
)

// experiments lists every experiment, one per line, sorted by name.
var experiments = []experiment.Experiment{
	atmostonce.Experiment,
	configspread.Experiment,
	killingrequest.Experiment,
	leaving.Experiment,
	limits.Experiment,
	overhead.Experiment,
	partition.Experiment,
	resumecost.Experiment,
	resumelatency.Experiment,
	routing.Experiment,
	survival.Experiment,
}
