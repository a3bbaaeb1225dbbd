package keeper

import (
	"fmt"
	"time"
)

// defaultMaintenance is the expected duration of a maintenance until the first one
// has been measured.
const defaultMaintenance = 5 * time.Minute

// BudgetStatus is the use of a customer's disruption budget in one pool.
type BudgetStatus struct {
	Customer    string
	Pool        string
	Down        int           // instances down now
	Reserve     int           // instances held in reserve for the failure of one more rack
	MaxDown     int           // instances that may be down at once
	Spent       time.Duration // downtime in the current window, summed over the instances of the pool
	MaxDowntime time.Duration // maximum downtime in a window; zero means unlimited
}

// BudgetStatuses returns the budget use of every customer that has a budget in a pool.
func (s State) BudgetStatuses(now time.Time, pool string) []BudgetStatus {
	down, reserve := s.downAndReserve(pool, "")
	var out []BudgetStatus
	for _, c := range s.budgetedCustomers(pool) {
		out = append(out, BudgetStatus{
			Customer:    c.Name,
			Pool:        pool,
			Down:        down,
			Reserve:     reserve,
			MaxDown:     c.Budget.MaxDown,
			Spent:       s.downtimeSpent(now, c, pool),
			MaxDowntime: c.Budget.Downtime,
		})
	}
	return out
}

// DrainRefusal returns the reason why an instance cannot be drained now, or ""
// if it can. Instances that are down because of failures count against the
// budget, and enough of it stays in reserve for the failure of one more rack. The
// projected downtime assumes an average maintenance for this instance and for each
// one in reserve.
func (s State) DrainRefusal(now time.Time, i Instance) string {
	if s.noBudgetCheck {
		return ""
	}
	down, reserve := s.downAndReserve(i.Pool, i.Name)
	for _, c := range s.budgetedCustomers(i.Pool) {
		needed := down + 1 + reserve
		if needed > c.Budget.MaxDown {
			return fmt.Sprintf("pool %s: %d down, 1 more and %d in reserve are over the %d that customer %s allows",
				i.Pool, down, reserve, c.Budget.MaxDown, c.Name)
		}
		projected := s.downtimeSpent(now, c, i.Pool) + time.Duration(1+reserve)*s.expectedMaintenance()
		if c.Budget.Downtime > 0 && projected > c.Budget.Downtime {
			return fmt.Sprintf("pool %s: the downtime of customer %s would reach %s of %s",
				i.Pool, c.Name, projected, c.Budget.Downtime)
		}
	}
	return ""
}

// expectedMaintenance returns the expected duration of a maintenance.
func (s State) expectedMaintenance() time.Duration {
	if s.meanMaintenance == 0 {
		return defaultMaintenance
	}
	return s.meanMaintenance
}

// downAndReserve returns the number of instances of a pool that are down, and the
// reserve for the failure of one more rack: the largest number of instances of the
// pool that are up in one rack. It leaves out the instance named drained, if any.
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

// budgetedCustomers returns the customers that have a budget in a pool.
func (s State) budgetedCustomers(pool string) []Customer {
	var out []Customer
	for _, c := range s.declarations.Customers {
		if c.Budget.MaxDown > 0 && s.usesPool(c, pool) {
			out = append(out, c)
		}
	}
	return out
}

// usesPool reports whether a pool runs one of the customer's services.
func (s State) usesPool(c Customer, pool string) bool {
	for _, name := range c.Services {
		service, ok := s.services.Get(name)
		if ok && service.Pool == pool {
			return true
		}
	}
	return false
}

// downtimeSpent returns the downtime of a pool in the customer's current window,
// including the downtime so far of instances that are down now.
func (s State) downtimeSpent(now time.Time, c Customer, pool string) time.Duration {
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

// account returns the account for the window that contains now. Windows of the
// same length start at the same times for all customers: at whole multiples of
// the length since the zero time. If a window started when its account was first
// read, the part of a downtime in progress that lies before the read would not count.
func (s State) account(now time.Time, c Customer, pool string) Account {
	a := Account{Customer: c.Name, Pool: pool, WindowStart: now.Truncate(max(c.Budget.Window, time.Minute))}
	stored, ok := s.accounts.Get(accountKey(c.Name, pool))
	if ok && stored.WindowStart.Equal(a.WindowStart) {
		a.Spent = stored.Spent
	}
	return a
}

// charge adds the downtime of an instance since its last change of state or charge to
// the accounts of its pool. Downtime before the current window is left out.
func (s State) charge(now time.Time, i Instance) State {
	for _, c := range s.budgetedCustomers(i.Pool) {
		a := s.account(now, c, i.Pool)
		a.Spent += now.Sub(later(i.Since, a.WindowStart))
		s.accounts = s.accounts.Set(accountKey(c.Name, i.Pool), a)
	}
	return s
}
