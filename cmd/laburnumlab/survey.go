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

// Run prints the latency, CPU time and allocations that a bare proxy and an entry instance
// add to a direct call.
func (c overheadCommand) Run() error {
	bench, err := surveyor.NewBench(surveyor.Config{Voters: 1, NoLog: c.NoLog})
	if err != nil {
		return err
	}
	defer bench.Stop()
	fmt.Println("| path | round | p50 | p99 | added p50 | added p99 | CPU a request | added CPU | of the hop's | allocations added |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for round := range c.Rounds {
		phases, err := surveyor.Overhead{Rate: c.Rate, For: c.For, Bytes: c.Bytes}.Round(bench)
		if err != nil {
			return err
		}
		direct, hop := phases[0], phases[1]
		for _, phase := range phases {
			added := phase.CPU - direct.CPU
			fmt.Printf("| %s | %d | %s | %s | %s | %s | %s | %s | %.2f | %.0f |\n", phase.Path, round+1,
				phase.P50.Round(time.Microsecond), phase.P99.Round(time.Microsecond),
				(phase.P50 - direct.P50).Round(time.Microsecond), (phase.P99 - direct.P99).Round(time.Microsecond),
				phase.CPU.Round(time.Microsecond), added.Round(time.Microsecond),
				added.Seconds()/(hop.CPU-direct.CPU).Seconds(), phase.Allocs-direct.Allocs)
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

// Run prints the maximum throughput of each path for each number of clients.
func (c saturationCommand) Run() error {
	bench, err := surveyor.NewBench(surveyor.Config{Voters: c.Voters, NoLog: c.NoLog})
	if err != nil {
		return err
	}
	defer bench.Stop()
	fmt.Println("| path | clients | answers a second | p50 | p99 | CPU a request | writes a sync |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range c.Clients {
		rows, err := bench.Saturate(n, c.Bytes, c.For)
		if err != nil {
			return err
		}
		for _, row := range rows {
			fmt.Printf("| %s | %d | %.0f | %s | %s | %s | %.1f |\n", row.Path, row.Clients, row.Rate,
				row.P50, row.P99, row.CPU.Round(time.Microsecond), float64(row.Writes)/float64(max(row.Syncs, 1)))
		}
	}
	return nil
}

type recoveryCommand struct {
	Entries []int `default:"500,50000" help:"Entries of the log."`
}

// Run prints how long a voter takes to read and apply a log, for each number of entries.
func (c recoveryCommand) Run() error {
	fmt.Println("| entries | on disk | files read | applied |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, n := range c.Entries {
		recovery, err := surveyor.MeasureRecovery(n)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %d kB | %s | %s |\n", recovery.Entries, recovery.Bytes>>10, recovery.Open.Round(time.Microsecond), recovery.Apply.Round(time.Microsecond))
	}
	return nil
}

type capacityCommand struct {
	Sizes []int `default:"49,500,1500,4100" help:"Numbers of workers."`
}

// Run prints the sizes of the declarations state and of a gossip report, and the times of a
// register command, an announcement, and a tick of the tracker and of the planner, for each
// number of workers.
func (c capacityCommand) Run() error {
	fmt.Println("| workers | heap of the declarations | snapshot | one register applied | tracker: one announcement | tracker: one look | planner: one look | planner in a wave | gossip: one report |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range c.Sizes {
		cost := surveyor.MeasureCapacity(n)
		fmt.Printf("| %d | %d kB | %d kB | %s | %s | %s | %s | %s | %d B |\n", cost.Workers, cost.HeapBytes>>10, cost.SnapshotBytes>>10,
			cost.Register.Round(time.Microsecond), cost.Announce.Round(100*time.Nanosecond), cost.TrackerTick.Round(time.Microsecond),
			cost.PlannerTick.Round(time.Microsecond), cost.PlannerTickInWave.Round(time.Microsecond), cost.GossipReportBytes)
	}
	return nil
}
