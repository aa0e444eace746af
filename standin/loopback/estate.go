package loopback

import (
	"context"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/entry"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore/httpstore"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/standin/instancelist"
	"github.com/wisteriahaven/wisteriahaven/standin/objectapi"
	"github.com/wisteriahaven/wisteriahaven/standin/service"
	"github.com/wisteriahaven/wisteriahaven/standin/weightstore"
)

// Times of the start and stop of an estate.
const (
	readyTimeout = 20 * time.Second
	readyPoll    = 5 * time.Millisecond
	stopTimeout  = 10 * time.Second
)

// Rates of the platform's object API.
const (
	platformWritesPerSecond = 300
	platformReadsPerSecond  = 2000
)

// Estate is a running estate.
type Estate struct {
	Configuration *estate.Configuration
	Keys          Keys
	ObjectAPI     *objectapi.Server
	InstanceList  *instancelist.Server
	Engines       map[string]*engine.Engine
	Services      map[string]*service.Server
	Entries       []*entry.Entry
	WeightStore   *weightstore.Server
	options       Options
	settings      []settings.Settings
}

// StartStandins starts the estate without entry instances, on the addresses
// that the example's files declare.
func StartStandins(options Options) (*Estate, error) {
	options.DeclaredAddresses = true
	e := newEstate(options)
	if err := e.startStandins(); err != nil {
		e.Stop()
		return nil, err
	}
	return e, nil
}

func newEstate(options Options) *Estate {
	return &Estate{
		options:  options,
		Engines:  make(map[string]*engine.Engine),
		Services: make(map[string]*service.Server),
	}
}

// Start starts the estate and waits until every entry instance is ready.
func Start(options Options) (*Estate, error) {
	e := newEstate(options)
	err := e.startStandins()
	if err == nil {
		err = e.startEntries()
	}
	if err == nil {
		err = e.waitReady()
	}
	if err != nil {
		e.Stop()
		return nil, err
	}
	return e, nil
}

func (e *Estate) startStandins() error {
	var err error
	if e.settings, err = e.loadSettings(); err != nil {
		return err
	}
	configuration, err := estate.Load(filepath.Join(e.options.Directory, "estate.json"))
	if err != nil {
		return err
	}
	e.Configuration = &configuration
	if e.Keys, err = loadKeys(e.options.Directory); err != nil {
		return fault.Wrap(fault.SettingsInvalid, "standin/loopback", "keys.json", err)
	}
	if err := e.startPlatform(); err != nil {
		return err
	}
	if err := e.startBackendServers(); err != nil {
		return err
	}
	return e.commit()
}

// startPlatform starts the object API, the instance list and the weight store.
func (e *Estate) startPlatform() error {
	declared := e.settings[0].Platform
	var err error
	e.ObjectAPI, err = objectapi.Start(objectapi.Settings{
		Address:         e.address(declared.ObjectAPI),
		WritesPerSecond: platformWritesPerSecond,
		ReadsPerSecond:  platformReadsPerSecond,
	})
	if err != nil {
		return err
	}
	e.InstanceList, err = instancelist.Start(e.address(declared.InstanceList), e.options.InstanceListLag)
	if err != nil {
		return err
	}
	e.WeightStore, err = weightstore.Start(weightstore.Settings{Address: e.address(declared.WeightStore)})
	return err
}

// address returns the address of a declared URL, or "" for a free port.
func (e *Estate) address(declared string) string {
	if !e.options.DeclaredAddresses {
		return ""
	}
	return strings.TrimPrefix(declared, "http://")
}

// startBackendServers starts each declared server and fills in its address.
func (e *Estate) startBackendServers() error {
	for i := range e.Configuration.BackendServers {
		server := &e.Configuration.BackendServers[i]
		if server.Model == "" && !server.Spare {
			started, err := service.Start(service.Settings{Name: server.Name, Address: e.address(server.Address)})
			if err != nil {
				return err
			}
			e.Services[server.Name] = started
			server.Address = started.Address()
			continue
		}
		started, err := engine.Start(e.engineSettings(*server))
		if err != nil {
			return err
		}
		e.Engines[server.Name] = started
		server.Address = started.Address()
	}
	return nil
}

func (e *Estate) engineSettings(server estate.BackendServer) engine.Settings {
	s := e.options.Engine
	s.Name = server.Name
	if s.Salt != 0 {
		s.Salt += xxhash.Sum64String(server.Name)
	}
	s.Address = e.address(server.Address)
	s.Model = server.Model
	s.Version = server.Version
	s.Slots = server.Slots
	s.ChecksFencing = server.ChecksFencing
	s.WeightStore = e.WeightStore.URL()
	return s
}

// commit writes the configuration to the platform.
func (e *Estate) commit() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	store := httpstore.New(e.ObjectAPI.URL())
	revision, err := configstore.Commit(ctx, store, &estate.Configuration{}, e.Configuration, "initial")
	e.Configuration.Revision = revision
	return err
}

// startTries bounds the starts of the entry instances: between the choice of
// free ports and their use, another process may take one.
const startTries = 5

func (e *Estate) startEntries() error {
	for try := 1; ; try++ {
		err := e.tryStartEntries()
		if err == nil || try == startTries {
			return err
		}
		for _, started := range e.Entries {
			started.Abort()
		}
		e.Entries = nil
	}
}

// tryStartEntries starts every entry instance on fresh ports.
func (e *Estate) tryStartEntries() error {
	if err := e.assignAddresses(e.settings); err != nil {
		return err
	}
	for _, s := range e.settings {
		started := entry.New(s, e.options.Logger)
		if err := started.Start(); err != nil {
			return err
		}
		e.Entries = append(e.Entries, started)
	}
	return nil
}

// loadSettings reads the settings of the instances to run.
func (e *Estate) loadSettings() ([]settings.Settings, error) {
	files, err := filepath.Glob(filepath.Join(e.options.Directory, "instances", "*.json"))
	if err != nil {
		return nil, err
	}
	sort.Strings(files)
	if e.options.MaxEntries > 0 {
		files = files[:min(len(files), e.options.MaxEntries)]
	}
	all := make([]settings.Settings, 0, len(files))
	for _, file := range files {
		s, err := settings.Load(file)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func (e *Estate) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, instance := range e.Entries {
		for !instance.Ready() {
			if time.Now().After(deadline) {
				return fault.New(fault.ConfigurationUnset, "an entry instance did not become ready")
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// CallerAddresses returns the callers' addresses of all entry instances.
func (e *Estate) CallerAddresses() []string {
	addresses := make([]string, 0, len(e.Entries))
	for _, instance := range e.Entries {
		addresses = append(addresses, instance.Addresses().Callers)
	}
	return addresses
}

// Stop ends everything.
func (e *Estate) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, instance := range e.Entries {
		wait.Go(func() { _ = instance.Stop(ctx) })
	}
	wait.Wait()
	for _, started := range e.Engines {
		started.Stop()
	}
	for _, started := range e.Services {
		started.Stop()
	}
	if e.WeightStore != nil {
		e.WeightStore.Stop()
	}
	if e.InstanceList != nil {
		e.InstanceList.Stop()
	}
	if e.ObjectAPI != nil {
		e.ObjectAPI.Stop()
	}
}
