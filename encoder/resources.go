package encoder

import (
	"fmt"
	"time"

	"laburnumwind/keeper"
)

// defaultMaxDown is the number of instances of a pool that may be down at once if a customer's disruption
// budget declares none or zero.
const defaultMaxDown = 2

// defaultWindow is the length of a disruption budget's window if none is declared.
const defaultWindow = 30 * 24 * time.Hour

// EncodeDeclarations converts declarations to protobuf.
func EncodeDeclarations(d keeper.Declarations) *Declarations {
	return &Declarations{
		Pools:     convertAll(d.Pools, encodePool),
		Services:  convertAll(d.Services, encodeService),
		Customers: convertAll(d.Customers, encodeCustomer),
	}
}

func encodePool(p keeper.Pool) *Pool {
	return &Pool{Name: p.Name, Size: int64(p.Size), Spare: p.Spare, Lendable: p.Lendable}
}

func encodeService(v keeper.Service) *Service {
	return &Service{
		Name:       v.Name,
		Pool:       v.Pool,
		Share:      int64(v.Share),
		Idempotent: v.Idempotent,
		MaxRun:     formatDuration(v.MaxRun),
	}
}

func encodeCustomer(c keeper.Customer) *Customer {
	return &Customer{
		Name:        c.Name,
		TokenSha256: c.Token,
		Weight:      int64(c.Weight),
		Services:    c.Services,
		Budget: &Budget{
			MaxDown:  int64(c.Budget.MaxDown),
			Downtime: formatDuration(c.Budget.Downtime),
			Window:   formatDuration(c.Budget.Window),
		},
	}
}

// DecodeDeclarations converts declarations back from protobuf and applies defaults to fields that are not set.
// A share or weight below one becomes one. It returns an error if a duration is malformed or negative.
func DecodeDeclarations(d *Declarations) (keeper.Declarations, error) {
	var out keeper.Declarations
	for _, p := range d.GetPools() {
		out.Pools = append(out.Pools, decodePool(p))
	}
	for _, v := range d.GetServices() {
		service, err := decodeService(v)
		if err != nil {
			return out, fmt.Errorf("services.%s: %w", v.GetName(), err)
		}
		out.Services = append(out.Services, service)
	}
	for _, c := range d.GetCustomers() {
		customer, err := decodeCustomer(c)
		if err != nil {
			return out, fmt.Errorf("customers.%s: %w", c.GetName(), err)
		}
		out.Customers = append(out.Customers, customer)
	}
	return out, nil
}

func decodePool(p *Pool) keeper.Pool {
	return keeper.Pool{Name: p.GetName(), Size: int(p.GetSize()), Spare: p.GetSpare(), Lendable: p.GetLendable()}
}

func decodeService(v *Service) (keeper.Service, error) {
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

func decodeCustomer(c *Customer) (keeper.Customer, error) {
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

// EncodeInstance converts an instance to protobuf, where its state is called place.
func EncodeInstance(i keeper.Instance) *Instance {
	return &Instance{
		Name:        i.Name,
		Incarnation: i.Incarnation,
		Zone:        i.Zone,
		Rack:        i.Rack,
		Slots:       int64(i.Slots),
		Place:       int32(i.State),
		PlaceName:   i.State.String(),
		Pool:        i.Pool,
		Target:      i.Target,
		Epoch:       i.Epoch,
		Since:       encodeTime(i.Since),
		Wave:        i.Wave,
	}
}

func decodeInstance(i *Instance) keeper.Instance {
	return keeper.Instance{
		Name:        i.GetName(),
		Incarnation: i.GetIncarnation(),
		Zone:        i.GetZone(),
		Rack:        i.GetRack(),
		Slots:       int(i.GetSlots()),
		State:       keeper.InstanceState(i.GetPlace()),
		Pool:        i.GetPool(),
		Target:      i.GetTarget(),
		Epoch:       i.GetEpoch(),
		Since:       decodeTime(i.GetSince()),
		Wave:        i.GetWave(),
	}
}

// EncodeWave converts a maintenance wave to protobuf.
func EncodeWave(w keeper.Wave) *Wave {
	return &Wave{
		Id:        w.ID,
		State:     int32(w.State),
		StateName: w.State.String(),
		Started:   encodeTime(w.Started),
		Ended:     encodeTime(w.Ended),
		Total:     int64(w.Total),
		Done:      int64(w.Done),
		Failed:    int64(w.Failed),
		MaxFailed: int64(w.MaxFailed),
	}
}

func decodeWave(w *Wave) keeper.Wave {
	return keeper.Wave{
		ID:        w.GetId(),
		State:     keeper.WaveState(w.GetState()),
		Started:   decodeTime(w.GetStarted()),
		Ended:     decodeTime(w.GetEnded()),
		Total:     int(w.GetTotal()),
		Done:      int(w.GetDone()),
		Failed:    int(w.GetFailed()),
		MaxFailed: int(w.GetMaxFailed()),
	}
}

// EncodeStanding converts the status of a disruption budget, whose protobuf type is called Standing.
func EncodeStanding(s keeper.BudgetStatus) *Standing {
	return &Standing{
		Customer: s.Customer,
		Pool:     s.Pool,
		Down:     int64(s.Down),
		Reserve:  int64(s.Reserve),
		Allowed:  int64(s.MaxDown),
		Spent:    s.Spent.Round(time.Second).String(),
		Bound:    formatDuration(s.MaxDowntime),
	}
}

func encodeResult(r keeper.Result) *Result {
	return &Result{Code: int32(r.Code), Revision: r.Revision, Epoch: r.Epoch, Reason: r.Reason}
}

func decodeResult(r *Result) keeper.Result {
	return keeper.Result{Code: keeper.Code(r.GetCode()), Revision: r.GetRevision(), Epoch: r.GetEpoch(), Reason: r.GetReason()}
}

// encodeState converts a snapshot of the declarations to protobuf, whose types are called Image for the snapshot
// and Remembered for the result of a change. The mean duration of a maintenance is called maintained there.
func encodeState(s keeper.State) *Image {
	snapshot := s.Snapshot()
	return &Image{
		Revision:     snapshot.Revision,
		Now:          encodeTime(snapshot.Now),
		Declarations: EncodeDeclarations(snapshot.Declarations),
		Instances:    convertAll(snapshot.Instances, EncodeInstance),
		Accounts: convertAll(snapshot.Accounts, func(a keeper.Account) *Account {
			return &Account{Customer: a.Customer, Pool: a.Pool, WindowStart: encodeTime(a.WindowStart), Spent: int64(a.Spent)}
		}),
		Changes: convertAll(snapshot.Changes, func(c keeper.ChangeResult) *Remembered {
			return &Remembered{Change: c.Change, At: encodeTime(c.At), Digest: c.Digest, Result: encodeResult(c.Result)}
		}),
		Wave:       EncodeWave(snapshot.Wave),
		Maintained: int64(snapshot.MeanMaintenance),
	}
}

func decodeState(img *Image) (keeper.State, error) {
	d, err := DecodeDeclarations(img.GetDeclarations())
	if err != nil {
		return keeper.NewState(), fmt.Errorf("read image: %w", err)
	}
	return keeper.FromSnapshot(keeper.Snapshot{
		Revision:     img.GetRevision(),
		Now:          decodeTime(img.GetNow()),
		Declarations: d,
		Instances:    convertAll(img.GetInstances(), decodeInstance),
		Accounts: convertAll(img.GetAccounts(), func(a *Account) keeper.Account {
			return keeper.Account{
				Customer:    a.GetCustomer(),
				Pool:        a.GetPool(),
				WindowStart: decodeTime(a.GetWindowStart()),
				Spent:       time.Duration(a.GetSpent()),
			}
		}),
		Changes: convertAll(img.GetChanges(), func(c *Remembered) keeper.ChangeResult {
			return keeper.ChangeResult{
				Change: c.GetChange(),
				At:     decodeTime(c.GetAt()),
				Digest: c.GetDigest(),
				Result: decodeResult(c.GetResult()),
			}
		}),
		Wave:            decodeWave(img.GetWave()),
		MeanMaintenance: time.Duration(img.GetMaintained()),
	}), nil
}

func encodeDeclarationsCommand(c keeper.Command) *Command {
	return &Command{
		Kind:         int32(c.Kind),
		Proposer:     c.Proposer,
		ChangeId:     c.ChangeID,
		Declarations: EncodeDeclarations(c.Declarations),
		Revision:     c.Revision,
		Instance:     EncodeInstance(c.Instance),
		Target:       c.Target,
		MaxFailed:    int64(c.MaxFailed),
		Wave:         c.Wave,
	}
}

func decodeDeclarationsCommand(c *Command) (keeper.Command, error) {
	d, err := DecodeDeclarations(c.GetDeclarations())
	if err != nil {
		return keeper.Command{}, fmt.Errorf("read command: %w", err)
	}
	return keeper.Command{
		Kind:         keeper.Kind(c.GetKind()),
		Proposer:     c.GetProposer(),
		ChangeID:     c.GetChangeId(),
		Declarations: d,
		Revision:     c.GetRevision(),
		Instance:     decodeInstance(c.GetInstance()),
		Target:       c.GetTarget(),
		MaxFailed:    int(c.GetMaxFailed()),
		Wave:         c.GetWave(),
	}, nil
}
