package admission_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/serving/admission"
)

// source is a ConfigurationSource and a CapacitySource.
type source struct {
	configuration *estate.Configuration
	capacity      int
}

func (s *source) Current() *estate.Configuration { return s.configuration }

func (s *source) Capacities() []serving.Capacity {
	return []serving.Capacity{{Service: "s", Requests: s.capacity}}
}

func newSource(capacity int, limits estate.AccountLimits) *source {
	sum := sha256.Sum256([]byte("secret"))
	account := estate.ClientAccount{Name: "a", KeyHashes: []string{hex.EncodeToString(sum[:])}, Limits: limits}
	return &source{&estate.Configuration{ClientAccounts: []estate.ClientAccount{account}}, capacity}
}

func (s *source) request() serving.AdmissionRequest {
	return serving.AdmissionRequest{Account: s.configuration.ClientAccounts[0], Service: "s"}
}

func TestAuthentication(t *testing.T) {
	is := is.New(t)
	s := newSource(1, estate.AccountLimits{})
	c := admission.New(s, s, nil, admission.Options{Seed: 1})
	account, err := c.Authenticate("secret")
	is.NoErr(err)
	is.Equal(account.Name, "a")
	for _, bearer := range []string{"", "wrong", s.configuration.ClientAccounts[0].KeyHashes[0]} {
		_, err = c.Authenticate(bearer)
		is.True(fault.HasCode(err, fault.Unauthenticated))
		is.Equal(fault.From(err).Execution, fault.ExecutionNotRun)
	}
	s.configuration = &estate.Configuration{}
	_, err = c.Authenticate("secret")
	is.True(fault.HasCode(err, fault.Unauthenticated)) // a removed key is invalid as soon as the new revision is in force
}

// Guards against a caller without a key who is taken for the account that has the hash of an empty one.
func TestEmptyKeyIsNoAccountsKey(t *testing.T) {
	is := is.New(t)
	s := newSource(1, estate.AccountLimits{})
	empty := sha256.Sum256(nil)
	s.configuration.ClientAccounts[0].KeyHashes = []string{hex.EncodeToString(empty[:])}
	_, err := admission.New(s, s, nil, admission.Options{Seed: 1}).Authenticate("")
	is.True(fault.HasCode(err, fault.Unauthenticated))
}

// Guards against callers who are served after the last account was removed, or the last key of the only one.
func TestConfigurationWithoutKeysAdmitsNobody(t *testing.T) {
	for name, accounts := range map[string][]estate.ClientAccount{
		"no list": nil, "no account": {}, "no list of keys": {{Name: "a"}}, "no key": {{Name: "a", KeyHashes: []string{}}}, "an empty hash": {{Name: "a", KeyHashes: []string{""}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSource(1, estate.AccountLimits{})
			c := admission.New(s, s, nil, admission.Options{Seed: 1})
			_, err := c.Authenticate("secret")
			is.NoErr(err)
			s.configuration = &estate.Configuration{ClientAccounts: accounts}
			for _, bearer := range []string{"secret", "", "wrong"} {
				_, err = c.Authenticate(bearer)
				is.True(fault.HasCode(err, fault.Unauthenticated))
			}
		})
	}
}

func TestReleaseLetsTheNextRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSource(1, estate.AccountLimits{})
		c := admission.New(s, s, nil, admission.Options{Seed: 1})
		first, err := c.Admit(t.Context(), s.request())
		is.NoErr(err)
		admitted := make(chan error, 1)
		go func() {
			ticket, err := c.Admit(t.Context(), s.request())
			if err == nil {
				ticket.Release()
			}
			admitted <- err
		}()
		synctest.Wait()
		is.Equal(c.Services()[0].Waiting, 1)
		first.Release()
		first.Release()
		is.NoErr(<-admitted)
		is.Equal(c.Services()[0].Running, 0)
	})
}

func TestWaitingRequestLeavesTheQueueAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSource(1, estate.AccountLimits{})
		c := admission.New(s, s, nil, admission.Options{Seed: 1})
		_, err := c.Admit(t.Context(), s.request())
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err = c.Admit(ctx, s.request())
		is.True(fault.HasCode(err, fault.DeadlinePassed))
		is.Equal(c.Services()[0].Waiting, 0)
	})
}

// exchange connects controllers in one process.
type exchange struct {
	mu      sync.Mutex
	reports map[string]serving.LimitPeer
}

// exchangeEnd is one controller's end of an exchange.
type exchangeEnd struct {
	*exchange
	name string
}

func (s exchangeEnd) Period() time.Duration { return time.Second }

func (s exchangeEnd) Publish(reports []share.AccountReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := serving.LimitPeer{Instance: s.name, ReceivedAt: time.Now(), HasReport: true, Accounts: make(map[string][share.Kinds]share.Report)}
	for _, report := range reports {
		peer.Accounts[report.Account] = report.Reports
	}
	s.reports[s.name] = peer
}

func (s exchangeEnd) LimitPeers() []serving.LimitPeer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []serving.LimitPeer
	for _, name := range []string{"one", "two"} {
		if peer, ok := s.reports[name]; name != s.name && ok {
			peers = append(peers, peer)
		} else if name != s.name {
			peers = append(peers, serving.LimitPeer{Instance: name})
		}
	}
	return peers
}

func TestExchangeMovesSharesToTheInstanceWithDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSource(100, estate.AccountLimits{RequestsInFlight: 8})
		shared := &exchange{reports: make(map[string]serving.LimitPeer)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var controllers []*admission.Controller
		for _, name := range []string{"one", "two"} {
			c := admission.New(s, s, exchangeEnd{shared, name}, admission.Options{Instance: name, Seed: 1})
			controllers = append(controllers, c)
			go c.Run(ctx)
		}
		is.True(!controllers[0].Ready())
		time.Sleep(10 * time.Second)
		is.True(controllers[0].Ready())
		admitted, refused := 0, 0
		for range 20 { // all the demand is at one instance
			for range 2 {
				if _, err := controllers[0].Admit(ctx, s.request()); err == nil {
					admitted++
				} else {
					refused++
					is.True(fault.HasCode(err, fault.AccountLimit))
					is.True(fault.From(err).RetryAfter > 0)
				}
			}
			time.Sleep(time.Second)
		}
		is.Equal(admitted, 6) // all but half the equal share of the idle instance, and no more
		is.True(refused > 0)
		cancel()
		synctest.Wait()
	})
}
