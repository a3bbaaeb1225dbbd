package main

import (
	"fmt"
	"time"

	"laburnumwind/surveyor"
)

type overheadCommand struct {
	Rate   float64       `default:"1000" help:"Requests a second."`
	For    time.Duration `default:"4s" help:"Time of each phase."`
	Rounds int           `default:"3" help:"Rounds; the phases of a round follow each other."`
	Bytes  int           `default:"1024" help:"Bytes of a body."`
	NoLog  bool          `help:"Write no log lines, to see what they cost."`
}

// Run runs the command.
func (c overheadCommand) Run() error {
	b, err := surveyor.NewBench(surveyor.Config{Voters: 1, NoLog: c.NoLog})
	if err != nil {
		return err
	}
	defer b.Stop()
	fmt.Println("| path | round | p50 | p99 | added p50 | added p99 | CPU a request | added CPU | of the hop's | allocations added |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for round := range c.Rounds {
		phases, err := surveyor.Overhead{Rate: c.Rate, For: c.For, Bytes: c.Bytes}.Round(b)
		if err != nil {
			return err
		}
		direct, hop := phases[0], phases[1]
		for _, p := range phases {
			added := p.CPU - direct.CPU
			fmt.Printf("| %s | %d | %s | %s | %s | %s | %s | %s | %.2f | %.0f |\n", p.Path, round+1,
				p.P50.Round(time.Microsecond), p.P99.Round(time.Microsecond),
				(p.P50 - direct.P50).Round(time.Microsecond), (p.P99 - direct.P99).Round(time.Microsecond),
				p.CPU.Round(time.Microsecond), added.Round(time.Microsecond),
				added.Seconds()/(hop.CPU-direct.CPU).Seconds(), p.Allocs-direct.Allocs)
		}
	}
	return nil
}

type saturationCommand struct {
	Voters  int           `default:"1" help:"Entry instances, each a voter in a zone of its own."`
	Clients []int         `default:"1,16,64,256" help:"Numbers of clients."`
	For     time.Duration `default:"4s" help:"Time of each row."`
	Bytes   int           `default:"1024" help:"Bytes of a body."`
	NoLog   bool          `help:"Write no log lines, to see what they cost."`
}

// Run runs the command.
func (c saturationCommand) Run() error {
	b, err := surveyor.NewBench(surveyor.Config{Voters: c.Voters, NoLog: c.NoLog})
	if err != nil {
		return err
	}
	defer b.Stop()
	fmt.Println("| path | clients | answers a second | p50 | p99 | CPU a request | writes a sync |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range c.Clients {
		rows, err := b.Saturate(n, c.Bytes, c.For)
		if err != nil {
			return err
		}
		for _, s := range rows {
			fmt.Printf("| %s | %d | %.0f | %s | %s | %s | %.1f |\n", s.Path, s.Clients, s.Rate,
				s.P50, s.P99, s.CPU.Round(time.Microsecond), float64(s.Writes)/float64(max(s.Syncs, 1)))
		}
	}
	return nil
}

type recoveryCommand struct {
	Entries []int `default:"500,50000" help:"Entries of the log."`
}

// Run runs the command.
func (c recoveryCommand) Run() error {
	fmt.Println("| entries | on disk | files read | applied |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, n := range c.Entries {
		r, err := surveyor.MeasureRecovery(n)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %d kB | %s | %s |\n", r.Entries, r.Bytes>>10, r.Open.Round(time.Microsecond), r.Apply.Round(time.Microsecond))
	}
	return nil
}

type capacityCommand struct {
	Sizes []int `default:"49,500,1500,4100" help:"Numbers of workers."`
}

// Run runs the command.
func (c capacityCommand) Run() error {
	fmt.Println("| workers | heap of the declarations | snapshot | one register applied | tracker: one announcement | tracker: one look | planner: one look | planner in a wave | gossip: one report |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range c.Sizes {
		m := surveyor.MeasureCapacity(n)
		fmt.Printf("| %d | %d kB | %d kB | %s | %s | %s | %s | %s | %d B |\n", m.Workers, m.Heap>>10, m.Snapshot>>10,
			m.Register.Round(time.Microsecond), m.Announce.Round(100*time.Nanosecond), m.Look.Round(time.Microsecond),
			m.Plan.Round(time.Microsecond), m.Wave.Round(time.Microsecond), m.Report)
	}
	return nil
}
