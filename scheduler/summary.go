package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// summaryEvery is the time between two lines on the whole of the work.
const summaryEvery = time.Second

const waveTold = 5 // machines of a wave of which a line tells

// summarize tells how much work and how many machines each pool has.
func (t *turn) summarize() {
	if t.now.Sub(t.toldAt) < summaryEvery {
		return
	}
	t.toldAt = t.now
	type sum struct{ workers, ready, runs, machines, up int }
	pools := make(map[string]sum)
	for _, w := range t.workers.All() {
		s := pools[w.Service]
		s.workers++
		s.runs += len(w.runs)
		if w.takesStarts(t.now) {
			s.ready++
		}
		pools[w.Service] = s
	}
	if t.fleet.open {
		for _, m := range t.fleet.machines.All() {
			s := pools[m.Pool]
			s.machines++
			if m.State == messenger.MachineUp && !m.out {
				s.up++
			}
			pools[m.Pool] = s
		}
	}
	var b strings.Builder
	for _, p := range t.view.Config().Pools {
		s := pools[p.Name]
		d := t.fleet.demands[p.Name]
		fmt.Fprintf(&b, "%s: %d workers, %d ready, %d runs, %d cores wanted, %.0f arriving, %d of %d machines up; ", p.Name, s.workers, s.ready, s.runs, d.wanted/1000, d.rateAt(t.now), s.up, s.machines)
	}
	t.view.EachWave(t.summarizeWave)
	t.tell(messenger.Decision{What: "summary", Candidates: t.view.ActiveJobs(), Reason: b.String()})
}

// summarizeWave tells what the first machines of a wave wait for.
func (t *turn) summarizeWave(w registrar.Wave) {
	if w.IsComplete() || !t.fleet.open {
		return
	}
	left := 0
	var b strings.Builder
	for _, name := range w.Machines {
		if slices.Contains(w.Done, name) {
			continue
		}
		left++
		if left <= waveTold {
			fmt.Fprintf(&b, "%s %s; ", name, t.waitsFor(name))
		}
	}
	t.tell(messenger.Decision{What: "wave", Candidates: left, Reason: b.String()})
}

// waitsFor tells in a few words why a machine's upkeep is not done.
func (t *turn) waitsFor(name string) string {
	m, ok := t.fleet.machines.Get(name)
	w, known := t.workers.Get(m.Worker)
	pool, _ := t.view.Config().Pool(m.Pool)
	switch {
	case !ok:
		return "is not listed"
	case m.State != messenger.MachineUp:
		return "is not up"
	case m.out || m.unsure:
		return "is ordered"
	case !t.isSettled(m):
		return "may be ordered by an earlier leader"
	case pool.Standby:
		return "is due"
	case !known || w.left:
		return "has no known worker"
	case w.misses > 0 || t.now.Sub(w.answeredAt) > staleAfter:
		return "has a silent worker"
	case slices.ContainsFunc(w.runs, func(r run) bool { return r.lasting }):
		return fmt.Sprintf("has lasting tasks among %d", len(w.runs))
	}
	return fmt.Sprintf("has %d tasks", len(w.runs))
}
