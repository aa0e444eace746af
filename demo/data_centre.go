package demo

import (
	"context"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/entry"
)

// dataCentreFails stops every entry instance and engine of one data centre while
// callers stream through it; they resume at the instances of the others.
func (d *Demo) dataCentreFails(ctx context.Context) Result {
	collected := &collector{result: Result{Scenario: "data centre lost in mid-answer"}}
	failing := d.estate.Entries[len(d.estate.Entries)-1].Dump(0).DataCentre
	inside, outside := d.splitByDataCentre(failing)
	addresses := []string{inside[0].Addresses().Callers}
	for _, instance := range outside {
		addresses = append(addresses, instance.Addresses().Callers)
	}
	var once sync.Once
	var wait sync.WaitGroup
	for i := range failureAnswerCount {
		wait.Go(func() {
			generation := d.generation("data-centre-dies", i)
			onToken := func(offset int, _ string) {
				if offset == failureOffset {
					once.Do(func() { d.stopDataCentre(failing, inside) })
				}
			}
			answer, err := d.client(i, addresses).Generate(ctx, generation, onToken)
			collected.add(generation, answer, err)
		})
	}
	wait.Wait()
	return collected.result
}

// splitByDataCentre divides the running instances into those of a data centre
// and the others.
func (d *Demo) splitByDataCentre(dataCentre string) (inside, outside []*entry.Entry) {
	for _, instance := range d.estate.Entries {
		dump := instance.Dump(0)
		switch {
		case dump.Stopping:
		case dump.DataCentre == dataCentre:
			inside = append(inside, instance)
		default:
			outside = append(outside, instance)
		}
	}
	return inside, outside
}

func (d *Demo) stopDataCentre(name string, inside []*entry.Entry) {
	engines := 0
	for _, server := range d.estate.Configuration.BackendServers {
		running := d.estate.Engines[server.Name]
		if server.DataCentre == name && running != nil && running.Alive() {
			running.Kill()
			engines++
		}
	}
	d.progress("stopping data centre %s: %d entry instances and %d engines", name, len(inside), engines)
	for _, instance := range inside {
		go instance.Abort()
	}
}
