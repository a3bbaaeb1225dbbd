package keeper

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrInvariant reports a state or transition that violates an invariant.
var ErrInvariant = eris.New("invariant violated")

// ErrDeclaration reports invalid declarations.
var ErrDeclaration = eris.New("bad declaration")

// Check returns an error that wraps ErrInvariant unless every instance has one valid
// lifecycle state, a pool if its state requires one, and no pool if it is spare.
func (s State) Check() error {
	var counts [Lost + 1]int
	for it := s.instances.Iterator(); !it.Done(); {
		_, i, _ := it.Next()
		if i.State <= Unknown || i.State > Lost {
			return fmt.Errorf("instance %s is at place %d: %w", i.Name, i.State, ErrInvariant)
		}
		needsPool := i.State != Spare && i.State != Quarantined
		if needsPool && i.Pool == "" {
			return fmt.Errorf("instance %s is %s in no pool: %w", i.Name, i.State, ErrInvariant)
		}
		if i.State == Spare && i.Pool != "" {
			return fmt.Errorf("instance %s is spare and in pool %s: %w", i.Name, i.Pool, ErrInvariant)
		}
		counts[i.State]++
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	if total != s.instances.Len() {
		return fmt.Errorf("%d places for %d instances: %w", total, s.instances.Len(), ErrInvariant)
	}
	return nil
}

// CheckTransition returns an error that wraps ErrInvariant unless after is a valid
// successor of before. Revisions and epochs must not decrease, instances must
// not disappear or leave a pool while serving, a change of state or pool needs a
// new epoch, and a drain must not exceed MaxDown of a budget.
func CheckTransition(before, after State) error {
	if after.revision < before.revision {
		return fmt.Errorf("revision %d after %d: %w", after.revision, before.revision, ErrInvariant)
	}
	for it := before.instances.Iterator(); !it.Done(); {
		name, old, _ := it.Next()
		i, ok := after.instances.Get(name)
		if !ok {
			return fmt.Errorf("instance %s vanished: %w", name, ErrInvariant)
		}
		if i.Epoch < old.Epoch || (i.Epoch == old.Epoch && (i.State != old.State || i.Pool != old.Pool)) {
			return fmt.Errorf("instance %s changed under epoch %d: %w", name, old.Epoch, ErrInvariant)
		}
		if old.State == Serving && i.State == Draining {
			err := after.checkDrain(i)
			if err != nil {
				return err
			}
		}
		if i.Pool != old.Pool && old.Pool != "" && old.State == Serving {
			return fmt.Errorf("instance %s left pool %s without a drain: %w", name, old.Pool, ErrInvariant)
		}
	}
	return nil
}

// checkDrain returns an error if, after the drain of an instance, the failure of
// one more rack would exceed MaxDown of a budget in its pool.
func (s State) checkDrain(i Instance) error {
	down, reserve := s.downAndReserve(i.Pool, "")
	for _, c := range s.budgetedCustomers(i.Pool) {
		if down+reserve > c.Budget.MaxDown {
			return fmt.Errorf("drain of %s: %d down and %d in reserve, customer %s allows %d: %w",
				i.Name, down, reserve, c.Name, c.Budget.MaxDown, ErrInvariant)
		}
	}
	return nil
}

// Validate returns an error that wraps ErrDeclaration if the declarations are
// inconsistent, or lack a pool that still has instances.
func (s State) Validate(d Declarations) error {
	pools := make(map[string]bool)
	spares := 0
	for _, p := range d.Pools {
		if p.Name == "" || pools[p.Name] {
			return fmt.Errorf("pools: name %q is empty or stands twice: %w", p.Name, ErrDeclaration)
		}
		if p.Size < 0 {
			return fmt.Errorf("pools.%s.size: %d is below zero: %w", p.Name, p.Size, ErrDeclaration)
		}
		if p.Spare {
			spares++
		}
		pools[p.Name] = true
	}
	if spares > 1 {
		return fmt.Errorf("pools: %d pools are spare, one at most may be: %w", spares, ErrDeclaration)
	}
	services, err := validateServices(d, pools)
	if err != nil {
		return err
	}
	err = validateCustomers(d, services)
	if err != nil {
		return err
	}
	for _, i := range s.Instances() {
		if i.Pool != "" && !pools[i.Pool] {
			return fmt.Errorf("pools: %s still holds instance %s: set its size to 0 first: %w", i.Pool, i.Name, ErrDeclaration)
		}
	}
	return nil
}

// validateServices checks the services, and returns the set of their names.
func validateServices(d Declarations, pools map[string]bool) (map[string]bool, error) {
	services := make(map[string]bool)
	for _, v := range d.Services {
		if v.Name == "" || services[v.Name] {
			return nil, fmt.Errorf("services: name %q is empty or stands twice: %w", v.Name, ErrDeclaration)
		}
		if !pools[v.Pool] {
			return nil, fmt.Errorf("services.%s.pool: no pool %q: %w", v.Name, v.Pool, ErrDeclaration)
		}
		if v.Share < 1 {
			return nil, fmt.Errorf("services.%s.share: %d is below one: %w", v.Name, v.Share, ErrDeclaration)
		}
		services[v.Name] = true
	}
	return services, nil
}

func validateCustomers(d Declarations, services map[string]bool) error {
	names := make(map[string]bool)
	tokens := make(map[string]bool)
	for _, c := range d.Customers {
		if c.Name == "" || names[c.Name] {
			return fmt.Errorf("customers: name %q is empty or stands twice: %w", c.Name, ErrDeclaration)
		}
		if c.Token == "" || tokens[c.Token] {
			return fmt.Errorf("customers.%s.token: is empty or stands twice: %w", c.Name, ErrDeclaration)
		}
		if c.Weight < 1 {
			return fmt.Errorf("customers.%s.weight: %d is below one: %w", c.Name, c.Weight, ErrDeclaration)
		}
		for _, name := range c.Services {
			if !services[name] {
				return fmt.Errorf("customers.%s.services: no service %q: %w", c.Name, name, ErrDeclaration)
			}
		}
		names[c.Name] = true
		tokens[c.Token] = true
	}
	return nil
}
