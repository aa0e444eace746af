package load

import "time"

// Picture holds what one instance knows about the load and the speed of the backend servers of all services. Without
// a valid figure about a server it says that nothing is known, and that its work takes as long as usual. It is not
// safe for concurrent use.
type Picture struct {
	servers  map[string]*serverPicture
	services map[string]*serviceSpeed
}

// NewPicture returns a picture without servers.
func NewPicture() *Picture {
	return &Picture{servers: make(map[string]*serverPicture), services: make(map[string]*serviceSpeed)}
}

// serverPicture is what is known about one server.
type serverPicture struct {
	// requests and memory are what the server states beyond what this instance knew of at that time.
	requests excess
	memory   excess
	waiting  excess
	speed    speed
	interval interval
	// percent is how long work takes by the last statement, with its time; 0 for none.
	percent   int
	percentAt time.Time
	// observedAt is when this instance itself last observed or heard something of the server.
	observedAt time.Time
}

// Known is the load at a server that this instance knows of, from its own requests and the digests of its peers.
type Known struct {
	Requests     int
	MemoryTokens int
}

// Statement is what a server states about its load in an answer or in a report.
type Statement struct {
	// Running and Waiting are the requests that run and that wait there.
	Running int
	Waiting int
	// WorkPercent is how long work takes there now, 100 as usual; 0 when it isn't stated.
	WorkPercent int
	// MemoryUsed is the memory in tokens that can't be freed; 0 when it isn't stated.
	MemoryUsed int
	// Age is how long ago it was made.
	Age time.Duration
}

// Stated records a statement of a server of a service, of which a load was known when it came. An absurd or old statement is an error
// with the code AnswerFieldInvalid that names the figure, and changes nothing.
func (p *Picture) Stated(now time.Time, server, service string, statement Statement, known Known) error {
	if err := statement.check(); err != nil {
		return err
	}
	at := now.Add(-statement.Age)
	record := p.server(server)
	record.observedAt = now
	record.requests.set(at, statement.Running+statement.Waiting-known.Requests)
	record.waiting.set(at, statement.Waiting)
	if statement.MemoryUsed > 0 {
		record.memory.set(at, statement.MemoryUsed-known.MemoryTokens)
	}
	if statement.WorkPercent > 0 {
		record.observePercent(at, statement.WorkPercent)
		p.service(service).stated = true
	}
	return nil
}

// Produced records that a server of a service sent events at a usual interval, and the longest pause between two of them.
// The interval is that of a server that reads no prompts at the same time; an interval of 0 or less is ignored.
func (p *Picture) Produced(now time.Time, server, service string, usual, pause time.Duration) {
	if usual <= 0 || usual > maxInterval {
		return
	}
	record := p.server(server)
	record.observedAt = now
	record.interval.set(now, usual, pause)
	record.observeInterval(now, p.service(service), usual)
}

// Read records that a server of a service read a prompt of a size in tokens, with no other before it as far as is
// known, in a time.
func (p *Picture) Read(service string, tokens int, took time.Duration) {
	if tokens >= minReadTokens && took > 0 {
		p.service(service).addRead(tokens, took)
	}
}

// ReadingSpeed returns the prompt tokens that the servers of a service read in a millisecond: the declared number unless
// enough prompts were read clearly slower.
func (p *Picture) ReadingSpeed(service string, declared float64) float64 {
	if known := p.services[service]; known != nil {
		return known.readingSpeed(declared)
	}
	return declared
}

// States reports whether servers of a service state how long work takes there.
func (p *Picture) States(service string) bool {
	known := p.services[service]
	return known != nil && known.stated
}

// Heard returns when a figure about the work of a server last came; zero for never.
func (p *Picture) Heard(server string) time.Time {
	if record := p.servers[server]; record != nil {
		return record.percentAt
	}
	return time.Time{}
}

// View returns what is known about a server now.
func (p *Picture) View(now time.Time, server string) View {
	record := p.servers[server]
	if record == nil {
		return View{}
	}
	return View{
		Requests:     record.requests.at(now),
		Waiting:      record.waiting.at(now),
		MemoryTokens: record.memory.at(now),
		Pause:        record.interval.pauseAt(now),
		Stated:       record.requests.setAt,
		Produced:     record.interval.setAt,
	}
}

// Work returns how long work takes at a server over a time ahead, as a multiple of the usual time; 1 when nothing
// is known, or when the difference is within the noise.
func (p *Picture) Work(now time.Time, server string, ahead time.Duration) float64 {
	record := p.servers[server]
	if record == nil {
		return 1
	}
	return record.speed.work(now, ahead)
}

// Forget removes what is known about a server whose process ended.
func (p *Picture) Forget(server string) { delete(p.servers, server) }

func (p *Picture) server(id string) *serverPicture {
	record := p.servers[id]
	if record == nil {
		record = &serverPicture{}
		p.servers[id] = record
	}
	return record
}

func (p *Picture) service(name string) *serviceSpeed {
	record := p.services[name]
	if record == nil {
		record = &serviceSpeed{}
		p.services[name] = record
	}
	return record
}

// observePercent records a statement of how long work takes.
func (r *serverPicture) observePercent(at time.Time, percent int) {
	if at.Before(r.percentAt) {
		return
	}
	r.percent, r.percentAt = percent, at
	r.speed.observe(at, float64(percent)/percentUsual)
}

// observeInterval records the usual interval between two events at a server.
func (r *serverPicture) observeInterval(at time.Time, service *serviceSpeed, usual time.Duration) {
	stated := 0.0
	if r.percent > 0 && at.Sub(r.percentAt).Abs() <= presentHalfLife {
		stated = float64(r.percent) / percentUsual
	}
	if relative := service.relative(usual, stated); relative > 0 {
		r.speed.observe(at, withoutNoise(relative))
	}
}
