//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

const upkeepTime = 2 * time.Second // maintenance_s

// provider is a stand-in for the platform's machines. Each worker has a machine. The mutex of the fleet guards it.
type provider struct {
	fleet  *fleet
	rec    *record
	wave   []string        // machines of the waves
	limit  int             // how many of them may be down for their upkeep at once
	slow   time.Duration   // time from the arrival of an order for upkeep until it is carried out and answered
	upkeep map[string]bool // machines that are down for their upkeep
	done   map[string]bool // machines that have begun their upkeep
	orders []time.Time     // when orders arrived
	over   string          // the first upkeep that began while too many machines were down
}

func machineName(n int) string { return fmt.Sprintf("m-%d", n) }

// ServeHTTP lists the machines and carries out orders for upkeep. It refuses moves: there is only one pool.
func (p *provider) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/machines":
		p.list(w)
	case "/machine-upkeep":
		var body struct {
			Machine string `json:"machine"`
		}
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.fleet.mu.Lock()
		p.orders = append(p.orders, time.Now())
		p.rec.line("provider: order %s of %s, fence %s", data, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"))
		slow := p.slow
		p.fleet.mu.Unlock()
		time.Sleep(slow)
		p.begin(w, body.Machine)
	default:
		p.refuse(w, "busy")
	}
}

func (p *provider) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_, _ = fmt.Fprintf(w, `{"reason":%q}`, reason) // the caller may have gone
}

func (p *provider) list(w http.ResponseWriter) {
	p.fleet.mu.Lock()
	machines := []any{}
	for n, worker := range p.fleet.all {
		state := "up"
		switch {
		case p.upkeep[machineName(n)]:
			state = "upkeep"
		case !worker.alive:
			state = "down"
		}
		machines = append(machines, map[string]any{
			"machine": machineName(n), "pool": "a", "state": state, "zone": "z1", "labels": []string{"a", worker.rack},
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0}, "id": worker.id,
		})
	}
	p.fleet.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": machines, "next_token": nil}) // the caller may have gone
}

// begin begins the upkeep of a machine. An order that is already done is answered again.
func (p *provider) begin(w http.ResponseWriter, name string) {
	p.fleet.mu.Lock()
	n := slices.IndexFunc(p.fleet.all, func(w *worker) bool { return machineName(slices.Index(p.fleet.all, w)) == name })
	begun := p.done[name]
	if n < 0 || !slices.Contains(p.wave, name) {
		p.fleet.mu.Unlock()
		p.refuse(w, "wave")
		return
	}
	if !begun {
		p.rec.line("provider: the upkeep of %s begins, %d machines are down for theirs", name, len(p.upkeep))
		if len(p.upkeep) >= p.limit && p.over == "" {
			p.over = fmt.Sprintf("the upkeep of %s began while %d machines of its wave were down for theirs, and %d may be", name, len(p.upkeep), p.limit)
		}
		p.done[name], p.upkeep[name] = true, true
		go p.restartLater(p.fleet.all[n], name)
	}
	p.fleet.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}

// restartLater ends the worker of a machine and starts it again after its upkeep.
func (p *provider) restartLater(w *worker, name string) {
	w.crash(true)
	time.Sleep(upkeepTime)
	p.fleet.mu.Lock()
	delete(p.upkeep, name)
	p.fleet.mu.Unlock()
	err := w.restart()
	p.rec.line("provider: the upkeep of %s is over: %v", name, err)
}
