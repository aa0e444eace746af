package fairqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/fairqueue"
)

// TestQueueAgainstAList compares the queue with a plain list of the waiting requests:
// every request leaves exactly once, the highest priority of an account first, and
// no request is dropped of an account with a shorter backlog than another.
func TestQueueAgainstAList(t *testing.T) {
	weights := map[string]int{"a": 1, "b": 2, "c": 4}
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		queue := fairqueue.New(capacity)
		var waiting []fairqueue.Item
		now := time.Duration(0)
		next := 0
		removeWaiting := func(item fairqueue.Item) {
			for i, other := range waiting {
				if other.ID == item.ID {
					waiting = append(waiting[:i:i], waiting[i+1:]...)
					return
				}
			}
			is.Equal(item.ID, "waiting") // left twice
		}
		backlog := func(account string) float64 {
			count := 0
			for _, item := range waiting {
				if item.Account == account {
					count++
				}
			}
			return float64(count) / float64(weights[account])
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				item := fairqueue.Item{
					ID: fmt.Sprint(next), Account: account, Weight: weights[account],
					Cost: rapid.IntRange(1, 5).Draw(t, "cost"), Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
					Deadline: now + time.Duration(rapid.IntRange(1, 50).Draw(t, "deadline")),
				}
				waiting = append(waiting, item)
				if dropped, full := queue.Push(item); full {
					for account := range weights {
						is.True(backlog(dropped.Account) >= backlog(account))
					}
					removeWaiting(dropped)
				}
			},
			"pop": func(*rapid.T) {
				item, ok := queue.Pop()
				is.Equal(ok, len(waiting) > 0)
				if !ok {
					return
				}
				for _, other := range waiting {
					if other.Account != item.Account || other.ID == item.ID {
						continue
					}
					is.True(other.Priority <= item.Priority) // highest priority first
				}
				removeWaiting(item)
			},
			"expire": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 20).Draw(t, "wait"))
				for _, item := range queue.Expire(now) {
					is.True(item.Deadline <= now)
					removeWaiting(item)
				}
				for _, item := range waiting {
					is.True(item.Deadline > now)
				}
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("empty")
				}
				item := rapid.SampledFrom(waiting).Draw(t, "item")
				is.True(queue.Remove(item.Account, item.ID))
				is.True(!queue.Remove(item.Account, item.ID))
				removeWaiting(item)
			},
			"": func(*rapid.T) {
				is.Equal(queue.Len(), len(waiting))
				is.True(queue.Len() <= capacity)
			},
		})
	})
}

// TestBackloggedAccountsShareByWeight checks that accounts that always have waiting
// requests are served in proportion to their weights: at any time the served cost
// over weight differs by no more than one largest request each.
func TestBackloggedAccountsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		weights := map[string]int{}
		for _, name := range []string{"a", "b", "c"} {
			weights[name] = rapid.IntRange(1, 8).Draw(t, "weight "+name)
		}
		queue := fairqueue.New(1000)
		served := map[string]float64{}
		push := func(name string) {
			item := fairqueue.Item{Account: name, Weight: weights[name], Cost: rapid.IntRange(1, 9).Draw(t, "cost")}
			queue.Push(item)
		}
		for name := range weights {
			served[name] = 0
		}
		for _, name := range []string{"a", "b", "c"} {
			push(name)
			push(name)
		}
		for range 100 {
			item, _ := queue.Pop()
			served[item.Account] += float64(item.Cost) / float64(item.Weight)
			push(item.Account)
			for a := range weights {
				for b := range weights {
					is.True(served[a]-served[b] <= 9/float64(weights[a])+1e-9)
				}
			}
		}
	})
}

func TestIdleAccountSavesNoTurnsAndWaitsForNone(t *testing.T) {
	is := is.New(t)
	queue := fairqueue.New(1000)
	for i := range 100 {
		queue.Push(fairqueue.Item{ID: fmt.Sprint("large-", i), Account: "large"})
	}
	for range 50 {
		queue.Pop()
	}
	for i := range 10 {
		queue.Push(fairqueue.Item{ID: fmt.Sprint("small-", i), Account: "small"})
	}
	smallServed := 0
	for range 10 {
		if item, _ := queue.Pop(); item.Account == "small" {
			smallServed++
		}
	}
	is.Equal(smallServed, 5)
}
