package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/experiment/virtualtime"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// instance is one entry instance with its own load estimates of the engines.
type instance struct {
	trackers []*load.Tracker
	random   *rand.Rand
	now      time.Duration
}

// State implements snapshot.StateSource.
func (i *instance) State(server int) snapshot.State {
	tracker := i.trackers[server]
	return snapshot.State{
		Requests:         tracker.Estimate(i.now, instances),
		ExpectedRequests: tracker.EstimateWithPeers(i.now, instances),
		Capacity:         slotsPerEngine,
	}
}

// simulation is one run of one policy.
type simulation struct {
	policy    policy
	snapshot  *snapshot.Snapshot
	engines   []*engine
	instances []*instance
	scheduler virtualtime.Scheduler
	failure   error

	firstTokenWaits         *hdrhistogram.Histogram
	hitBlocks, promptBlocks int
	herdingSum              float64
	samples                 int
}

func newSimulation(tested policy, seed uint64) *simulation {
	s := &simulation{
		policy:          tested,
		snapshot:        snapshot.Build(configuration(), snapshot.Options{Place: snapshot.Place{DataCentre: "d", Region: "r"}}),
		firstTokenWaits: hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3),
	}
	for range engines {
		s.engines = append(s.engines, &engine{cache: newCache()})
	}
	config := load.DefaultConfig()
	config.Uncorrected = tested.uncorrected
	for i := range instances {
		created := &instance{random: rand.New(rand.NewPCG(seed, uint64(i)))}
		for range engines {
			created.trackers = append(created.trackers, load.NewTracker(config))
		}
		s.instances = append(s.instances, created)
	}
	return s
}

// configuration returns a configuration with all engines in one data centre.
func configuration() *estate.Configuration {
	built := &estate.Configuration{
		DataCentres: []estate.DataCentre{{Name: "d", Region: "r"}},
		Services:    []estate.Service{{Name: "s"}},
		Rules:       []estate.Rule{{Name: "all"}},
	}
	for i := range engines {
		name := fmt.Sprint("engine-", i)
		built.BackendServers = append(built.BackendServers, estate.BackendServer{Name: name, DataCentre: "d", Service: "s", Slots: slotsPerEngine})
	}
	return built
}

// run sends the requests and ends when the last one has arrived.
func (s *simulation) run(requests []request) error {
	for _, next := range requests {
		s.scheduler.At(next.at, func(now time.Duration) { s.route(now, next) })
	}
	end := requests[len(requests)-1].at
	s.scheduler.Every(reportPeriod, end, s.sendReports)
	s.scheduler.Every(samplePeriod, end, s.sampleHerding)
	s.scheduler.Run(end)
	return s.failure
}

func (s *simulation) route(now time.Duration, next request) {
	from := s.instances[next.instance]
	from.now = now
	view := snapshot.NewView(s.snapshot, serving.RouteRequest{Service: "s", Prompt: next.prompt, Purpose: serving.PurposeFirst}, from)
	choice, err := s.policy.pipeline.Route(view, from.random)
	if err != nil {
		s.failure = err
		return
	}
	tracker := from.trackers[choice.Server]
	tracker.Started(now)
	s.engines[choice.Server].submit(s, now, job{next, blockHashes(next.prompt), tracker.Ended})
}

// sendReports sends every instance the lagged load of every engine.
func (s *simulation) sendReports(now time.Duration) {
	for index, engine := range s.engines {
		engine.observe(now)
		lagged, ok := engine.lagged(now)
		if !ok {
			continue
		}
		engine.sequence++
		for _, receiver := range s.instances {
			receiver.trackers[index].Reported(load.Report{Sequence: engine.sequence, Requests: lagged.requests, Observed: lagged.at})
		}
	}
}

// sampleHerding records the ratio of the fullest engine's requests to the mean of all engines.
func (s *simulation) sampleHerding(now time.Duration) {
	most, sum := 0, 0
	for _, engine := range s.engines {
		most = max(most, engine.requests())
		sum += engine.requests()
	}
	if now < warmUp || sum == 0 {
		return
	}
	s.herdingSum += float64(most) * engines / float64(sum)
	s.samples++
}

// recordFirstToken records the cache hits of a request and its wait for the first token.
func (s *simulation) recordFirstToken(r request, hits, all int, first time.Duration) {
	if r.at < warmUp {
		return
	}
	s.hitBlocks += hits
	s.promptBlocks += all
	_ = s.firstTokenWaits.RecordValue(int64((first - r.at) / time.Millisecond))
}

// result holds the figures of one run.
type result struct {
	// hitRatio is the part of the prompt blocks that were cached.
	hitRatio float64
	// waitMs is the 95th percentile of the time to the first token, in milliseconds.
	waitMs float64
	// herding is the mean ratio of the fullest engine's requests to the mean of all engines.
	herding float64
}

func (s *simulation) result() result {
	return result{
		hitRatio: float64(s.hitBlocks) / float64(max(1, s.promptBlocks)),
		waitMs:   float64(s.firstTokenWaits.ValueAtQuantile(95)),
		herding:  s.herdingSum / float64(max(1, s.samples)),
	}
}
