package encoder

import (
	"fmt"
	"time"

	"laburnumwind/keeper"
)

// defaultMaxDown is how many instances of a pool may be down for a customer that declares no budget.
const defaultMaxDown = 2

// defaultWindow is the length of a budget window that is not declared.
const defaultWindow = 30 * 24 * time.Hour

// FromDeclarations returns the declarations as protobuf.
func FromDeclarations(d keeper.Declarations) *Declarations {
	return &Declarations{
		Pools:     each(d.Pools, fromPool),
		Services:  each(d.Services, fromService),
		Customers: each(d.Customers, fromCustomer),
	}
}

func fromPool(p keeper.Pool) *Pool {
	return &Pool{Name: p.Name, Size: int64(p.Size), Spare: p.Spare, Lendable: p.Lendable}
}

func fromService(v keeper.Service) *Service {
	return &Service{
		Name:       v.Name,
		Pool:       v.Pool,
		Share:      int64(v.Share),
		Idempotent: v.Idempotent,
		MaxRun:     durationText(v.MaxRun),
	}
}

func fromCustomer(c keeper.Customer) *Customer {
	return &Customer{
		Name:        c.Name,
		TokenSha256: c.Token,
		Weight:      int64(c.Weight),
		Services:    c.Services,
		Budget: &Budget{
			MaxDown:  int64(c.Budget.MaxDown),
			Downtime: durationText(c.Budget.Downtime),
			Window:   durationText(c.Budget.Window),
		},
	}
}

// ToDeclarations is the inverse of FromDeclarations. It fills in what is not declared.
func ToDeclarations(d *Declarations) (keeper.Declarations, error) {
	var out keeper.Declarations
	for _, p := range d.GetPools() {
		out.Pools = append(out.Pools, toPool(p))
	}
	for _, v := range d.GetServices() {
		service, err := toService(v)
		if err != nil {
			return out, fmt.Errorf("services.%s: %w", v.GetName(), err)
		}
		out.Services = append(out.Services, service)
	}
	for _, c := range d.GetCustomers() {
		customer, err := toCustomer(c)
		if err != nil {
			return out, fmt.Errorf("customers.%s: %w", c.GetName(), err)
		}
		out.Customers = append(out.Customers, customer)
	}
	return out, nil
}

func toPool(p *Pool) keeper.Pool {
	return keeper.Pool{Name: p.GetName(), Size: int(p.GetSize()), Spare: p.GetSpare(), Lendable: p.GetLendable()}
}

func toService(v *Service) (keeper.Service, error) {
	maxRun, err := parseDuration("maxRun", v.GetMaxRun())
	if err != nil {
		return keeper.Service{}, fmt.Errorf("read service: %w", err)
	}
	return keeper.Service{
		Name:       v.GetName(),
		Pool:       v.GetPool(),
		Share:      int(max(v.GetShare(), 1)),
		Idempotent: v.GetIdempotent(),
		MaxRun:     maxRun,
	}, nil
}

func toCustomer(c *Customer) (keeper.Customer, error) {
	downtime, err := parseDuration("budget.downtime", c.GetBudget().GetDowntime())
	if err != nil {
		return keeper.Customer{}, fmt.Errorf("read budget: %w", err)
	}
	window, err := parseDuration("budget.window", c.GetBudget().GetWindow())
	if err != nil {
		return keeper.Customer{}, fmt.Errorf("read budget: %w", err)
	}
	if window == 0 {
		window = defaultWindow
	}
	maxDown := int(c.GetBudget().GetMaxDown())
	if maxDown == 0 {
		maxDown = defaultMaxDown
	}
	return keeper.Customer{
		Name:     c.GetName(),
		Token:    c.GetTokenSha256(),
		Weight:   int(max(c.GetWeight(), 1)),
		Services: c.GetServices(),
		Budget:   keeper.Budget{MaxDown: maxDown, Downtime: downtime, Window: window},
	}, nil
}

// FromInstance returns the instance as protobuf.
func FromInstance(i keeper.Instance) *Instance {
	return &Instance{
		Name:        i.Name,
		Incarnation: i.Incarnation,
		Zone:        i.Zone,
		Rack:        i.Rack,
		Slots:       int64(i.Slots),
		Place:       int32(i.Place),
		PlaceName:   i.Place.String(),
		Pool:        i.Pool,
		Target:      i.Target,
		Epoch:       i.Epoch,
		Since:       fromTime(i.Since),
		Wave:        i.Wave,
	}
}

func toInstance(i *Instance) keeper.Instance {
	return keeper.Instance{
		Name:        i.GetName(),
		Incarnation: i.GetIncarnation(),
		Zone:        i.GetZone(),
		Rack:        i.GetRack(),
		Slots:       int(i.GetSlots()),
		Place:       keeper.Place(i.GetPlace()),
		Pool:        i.GetPool(),
		Target:      i.GetTarget(),
		Epoch:       i.GetEpoch(),
		Since:       toTime(i.GetSince()),
		Wave:        i.GetWave(),
	}
}

// FromWave returns the wave as protobuf.
func FromWave(w keeper.Wave) *Wave {
	return &Wave{
		Id:        w.ID,
		State:     int32(w.State),
		StateName: w.State.String(),
		Started:   fromTime(w.Started),
		Ended:     fromTime(w.Ended),
		Total:     int64(w.Total),
		Done:      int64(w.Done),
		Failed:    int64(w.Failed),
		MaxFailed: int64(w.MaxFailed),
	}
}

func toWave(w *Wave) keeper.Wave {
	return keeper.Wave{
		ID:        w.GetId(),
		State:     keeper.WaveState(w.GetState()),
		Started:   toTime(w.GetStarted()),
		Ended:     toTime(w.GetEnded()),
		Total:     int(w.GetTotal()),
		Done:      int(w.GetDone()),
		Failed:    int(w.GetFailed()),
		MaxFailed: int(w.GetMaxFailed()),
	}
}

// FromStanding returns the standing of a budget as protobuf.
func FromStanding(s keeper.Standing) *Standing {
	return &Standing{
		Customer: s.Customer,
		Pool:     s.Pool,
		Down:     int64(s.Down),
		Reserve:  int64(s.Reserve),
		Allowed:  int64(s.Allowed),
		Spent:    s.Spent.Round(time.Second).String(),
		Bound:    durationText(s.Bound),
	}
}

func fromResult(r keeper.Result) *Result {
	return &Result{Code: int32(r.Code), Revision: r.Revision, Epoch: r.Epoch, Reason: r.Reason}
}

func toResult(r *Result) keeper.Result {
	return keeper.Result{Code: keeper.Code(r.GetCode()), Revision: r.GetRevision(), Epoch: r.GetEpoch(), Reason: r.GetReason()}
}

func fromImage(s keeper.State) *Image {
	img := s.Image()
	return &Image{
		Revision:     img.Revision,
		Now:          fromTime(img.Now),
		Declarations: FromDeclarations(img.Declarations),
		Instances:    each(img.Instances, FromInstance),
		Accounts: each(img.Accounts, func(a keeper.Account) *Account {
			return &Account{Customer: a.Customer, Pool: a.Pool, WindowStart: fromTime(a.WindowStart), Spent: int64(a.Spent)}
		}),
		Changes: each(img.Changes, func(c keeper.Remembered) *Remembered {
			return &Remembered{Change: c.Change, At: fromTime(c.At), Digest: c.Digest, Result: fromResult(c.Result)}
		}),
		Wave:       FromWave(img.Wave),
		Maintained: int64(img.Maintained),
	}
}

func toImage(img *Image) (keeper.State, error) {
	d, err := ToDeclarations(img.GetDeclarations())
	if err != nil {
		return keeper.NewState(), fmt.Errorf("read image: %w", err)
	}
	return keeper.FromImage(keeper.Image{
		Revision:     img.GetRevision(),
		Now:          toTime(img.GetNow()),
		Declarations: d,
		Instances:    each(img.GetInstances(), toInstance),
		Accounts: each(img.GetAccounts(), func(a *Account) keeper.Account {
			return keeper.Account{
				Customer:    a.GetCustomer(),
				Pool:        a.GetPool(),
				WindowStart: toTime(a.GetWindowStart()),
				Spent:       time.Duration(a.GetSpent()),
			}
		}),
		Changes: each(img.GetChanges(), func(c *Remembered) keeper.Remembered {
			return keeper.Remembered{
				Change: c.GetChange(),
				At:     toTime(c.GetAt()),
				Digest: c.GetDigest(),
				Result: toResult(c.GetResult()),
			}
		}),
		Wave:       toWave(img.GetWave()),
		Maintained: time.Duration(img.GetMaintained()),
	}), nil
}

func fromCommand(c keeper.Command) *Command {
	return &Command{
		Kind:         int32(c.Kind),
		Proposer:     c.Proposer,
		ChangeId:     c.ChangeID,
		Declarations: FromDeclarations(c.Declarations),
		Revision:     c.Revision,
		Instance:     FromInstance(c.Instance),
		Target:       c.Target,
		MaxFailed:    int64(c.MaxFailed),
		Wave:         c.Wave,
	}
}

func toCommand(c *Command) (keeper.Command, error) {
	d, err := ToDeclarations(c.GetDeclarations())
	if err != nil {
		return keeper.Command{}, fmt.Errorf("read command: %w", err)
	}
	return keeper.Command{
		Kind:         keeper.Kind(c.GetKind()),
		Proposer:     c.GetProposer(),
		ChangeID:     c.GetChangeId(),
		Declarations: d,
		Revision:     c.GetRevision(),
		Instance:     toInstance(c.GetInstance()),
		Target:       c.GetTarget(),
		MaxFailed:    int(c.GetMaxFailed()),
		Wave:         c.GetWave(),
	}, nil
}
