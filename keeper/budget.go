package keeper

import (
	"fmt"
	"time"
)

// expectedMaintenance is the downtime charged to a drain before any was measured.
const expectedMaintenance = 5 * time.Minute

// Standing is what a customer's budget in one pool comes to.
type Standing struct {
	Customer string
	Pool     string
	Down     int           // instances down now
	Reserve  int           // kept for the loss of one more rack
	Allowed  int           // instances that may be down at once
	Spent    time.Duration // downtime of this window
	Bound    time.Duration // downtime allowed in a window; zero means no bound
}

// Standings returns the budgets of all customers in a pool.
func (s State) Standings(now time.Time, pool string) []Standing {
	down, reserve := s.downAndReserve(pool, "")
	var out []Standing
	for _, c := range s.owed(pool) {
		out = append(out, Standing{
			Customer: c.Name,
			Pool:     pool,
			Down:     down,
			Reserve:  reserve,
			Allowed:  c.Budget.MaxDown,
			Spent:    s.spent(now, c, pool),
			Bound:    c.Budget.Downtime,
		})
	}
	return out
}

// DrainRefusal says why an instance cannot be drained now; it is empty if it can.
// Failures have already spent from the budget; one more correlated loss stays in reserve.
func (s State) DrainRefusal(now time.Time, i Instance) string {
	if s.unbounded {
		return ""
	}
	down, reserve := s.downAndReserve(i.Pool, i.Name)
	for _, c := range s.owed(i.Pool) {
		need := down + 1 + reserve
		if need > c.Budget.MaxDown {
			return fmt.Sprintf("pool %s: %d down, 1 more and %d in reserve are over the %d that customer %s allows",
				i.Pool, down, reserve, c.Budget.MaxDown, c.Name)
		}
		cost := s.spent(now, c, i.Pool) + time.Duration(1+reserve)*s.expected()
		if c.Budget.Downtime > 0 && cost > c.Budget.Downtime {
			return fmt.Sprintf("pool %s: the downtime of customer %s would reach %s of %s",
				i.Pool, c.Name, cost, c.Budget.Downtime)
		}
	}
	return ""
}

func (s State) expected() time.Duration {
	if s.maintained == 0 {
		return expectedMaintenance
	}
	return s.maintained
}

// downAndReserve counts what is down in a pool, and the largest number of
// instances still up that share a rack, as if the named instance were drained.
func (s State) downAndReserve(pool, drained string) (down, reserve int) {
	racks := make(map[string]int)
	for it := s.poolMembers(pool).Iterator(); !it.Done(); {
		_, i, _ := it.Next()
		if i.Name == drained {
			continue
		}
		if i.IsDown() {
			down++
			continue
		}
		racks[i.Rack]++
		reserve = max(reserve, racks[i.Rack])
	}
	return down, reserve
}

// owed are the customers that have a budget in a pool.
func (s State) owed(pool string) []Customer {
	var out []Customer
	for _, c := range s.declarations.Customers {
		if c.Budget.MaxDown > 0 && s.uses(c, pool) {
			out = append(out, c)
		}
	}
	return out
}

func (s State) uses(c Customer, pool string) bool {
	for _, name := range c.Services {
		service, ok := s.services.Get(name)
		if ok && service.Pool == pool {
			return true
		}
	}
	return false
}

// spent is the downtime of the present window, with what is down now.
func (s State) spent(now time.Time, c Customer, pool string) time.Duration {
	a := s.account(now, c, pool)
	total := a.Spent
	for it := s.poolMembers(pool).Iterator(); !it.Done(); {
		_, i, _ := it.Next()
		if i.IsDown() {
			total += now.Sub(later(i.Since, a.WindowStart))
		}
	}
	return total
}

// account is the account in the window that the time falls into. Windows are
// the same for everybody: a whole number of their length since the zero time.
func (s State) account(now time.Time, c Customer, pool string) Account {
	a := Account{Customer: c.Name, Pool: pool, WindowStart: now.Truncate(max(c.Budget.Window, time.Minute))}
	known, ok := s.accounts.Get(accountKey(c.Name, pool))
	if ok && known.WindowStart.Equal(a.WindowStart) {
		a.Spent = known.Spent
	}
	return a
}

// charge adds the downtime of an instance since its last change of place to the accounts of its pool.
func (s State) charge(now time.Time, i Instance) State {
	for _, c := range s.owed(i.Pool) {
		a := s.account(now, c, i.Pool)
		a.Spent += now.Sub(later(i.Since, a.WindowStart))
		s.accounts = s.accounts.Set(accountKey(c.Name, i.Pool), a)
	}
	return s
}
