//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	poolName  = "pool-a"
	queueHost = "q.example"
	prefix    = "/q/"
)

// settingsText is the settings file of a process of a small deployment.
const settingsText = `node: "%[1]s"
role: "%[2]s"
class: "%[3]s"
serves: ["%[4]s"]
ip: "%[5]s"
zone: "z1"
region: "r"
zones: {z1: "r"}
listen: {%[6]s}
internal_port_range: [7060, 7075]
seeds: [%[7]s]
bootstrap: %[8]t
counts_as_loss: %[9]t
limits: {cpu_share: 0.624, cores: 1, memory_mb: 280, max_fds: 4096, link_mbps: 1000.0, disk_mb: 128}
data_dir: %[10]s
discovery: "registry"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"]
tolerate: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catchup_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, hold_max_ms: 6000, stop_ms: 400, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, far_x: 1.5, checkpoint_s: 1, restore_ms: 600, notice_ms: 4500, move_s: 1.5, maintenance_s: 2, fencing: false, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000}
config_mode: "highest"
orders: "rpc"
cloud_api: {address: "%[11]s", rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`

const configText = `{"version":%d,"routes":[{"name":"r-q","host":"q.example","path_prefix":"/q/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":600,"priority":0,"service":"pool-a","attempts":3,"stretch":1.6}],"services":[{"name":"pool-a","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"rejects_overload":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// process is one process of the system.
type process struct {
	name, role, ip, settings string
	cmd                      *exec.Cmd
}

// system is a small deployment: three controllers, two entry instances, and stand-ins for workers and the platform.
type system struct {
	l         *ledger
	network   int
	folder    string
	log       *os.File
	guard     net.Listener
	processes []*process
	workers   []*worker
	provider  *http.Server
	client    *http.Client

	providerAddress string
}

// newSystem starts a system with a number of workers. Their first lives begin with startWorkers.
func newSystem(l *ledger, workers int) (*system, error) {
	s := &system{l: l, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	var err error
	s.folder, err = os.MkdirTemp("", "review")
	if err != nil {
		return s, fmt.Errorf("create folder: %w", err)
	}
	s.log, err = os.Create(filepath.Join(s.folder, "log"))
	if err != nil {
		return s, fmt.Errorf("create log: %w", err)
	}
	for n := range 200 { // a listener marks a loopback network as used
		s.network = 10 + (os.Getpid()+n)%200
		s.guard, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.253:8601", s.network))
		if err == nil {
			break
		}
	}
	if err != nil {
		return s, fmt.Errorf("find a free loopback network: %w", err)
	}
	listener, err := net.Listen("tcp", s.ip(4, 0)+":0")
	if err != nil {
		return s, fmt.Errorf("listen: %w", err)
	}
	s.provider = &http.Server{Handler: http.HandlerFunc(s.serveProvider)}
	go func() { _ = s.provider.Serve(listener) }()
	var seeds, quoted []string
	for n := range 3 {
		seeds = append(seeds, s.ip(1, n)+":8623")
		quoted = append(quoted, fmt.Sprintf("%q", seeds[n]))
	}
	s.providerAddress = listener.Addr().String()
	for n := range 5 {
		role, number := "control", n
		if n >= 3 {
			role, number = "entry", n-3
		}
		p, err := s.addProcess(role, number, quoted, true)
		if err != nil {
			return s, err
		}
		defer func() { _ = s.writeSettings(p, quoted, false) }() // only the first start founds the system
	}
	for n := range workers {
		s.workers = append(s.workers, &worker{l: l, link: newLink(l), id: fmt.Sprintf("i-%d", n), address: s.ip(3, n) + ":0", controllers: seeds})
	}
	for deadline := time.Now().Add(15 * time.Second); ; {
		if s.putConfig(1) {
			return s, nil
		}
		if time.Now().After(deadline) {
			return s, fmt.Errorf("no configuration was accepted")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// addProcess starts a new process, a controller with an empty disk or an entry instance.
func (s *system) addProcess(role string, number int, seeds []string, bootstrap bool) (*process, error) {
	p := &process{name: fmt.Sprintf("core-%d", number), role: role, ip: s.ip(1, number)}
	if role == "entry" {
		p = &process{name: fmt.Sprintf("edge-%d", number), role: role, ip: s.ip(2, number)}
	}
	p.settings = filepath.Join(s.folder, p.name+".yaml")
	if err := os.Mkdir(filepath.Join(s.folder, p.name), 0o700); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	if err := s.writeSettings(p, seeds, bootstrap); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	return p, s.startProcess(p)
}

// writeSettings writes the settings file of a process, as the platform does. The seeds are quoted addresses.
func (s *system) writeSettings(p *process, seeds []string, bootstrap bool) error {
	class, serves, listen, data := "core", "control", fmt.Sprintf("control: %q", p.ip+":8623"), fmt.Sprintf("%q", filepath.Join(s.folder, p.name))
	if p.role == "entry" {
		class, serves, listen, data = "edge", "edge", fmt.Sprintf("front: %q, ready: %q", p.ip+":8624", p.ip+":8622"), "null"
	}
	text := fmt.Sprintf(settingsText, p.name, p.role, class, serves, p.ip, listen, strings.Join(seeds, ", "), bootstrap, p.role == "control", data, s.providerAddress)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

func (s *system) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.network, group, 1+n)
}

// startProcess starts a process with the command of the deploy file.
func (s *system) startProcess(p *process) error {
	p.cmd = exec.Command("target/laburnumd", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LABURNUMWIND_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = s.log, s.log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	s.l.note("%s started", p.name)
	return nil
}

// terminate sends SIGTERM to a process and waits for its end, and kills it after the grace time.
func (s *system) terminate(p *process) {
	s.l.note("%s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(6*time.Second, func() { _ = p.cmd.Process.Kill() })
	_ = p.cmd.Wait()
	timer.Stop()
	s.l.note("%s has ended", p.name)
}

// kill ends a process at once.
func (s *system) kill(p *process) {
	s.l.note("%s killed", p.name)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// stop ends everything that the system started.
func (s *system) stop() {
	for _, p := range s.processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
	for _, w := range s.workers {
		w.mu.Lock()
		lf := w.life
		w.mu.Unlock()
		if lf != nil {
			lf.end("the trial is over")
		}
	}
	if s.provider != nil {
		_ = s.provider.Close()
	}
	if s.guard != nil {
		_ = s.guard.Close()
	}
	if s.log != nil {
		_ = s.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// serveProvider lists one machine for each worker.
func (s *system) serveProvider(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	machines := []map[string]any{}
	for n, w := range s.workers {
		w.mu.Lock()
		lf := w.life
		w.mu.Unlock()
		if lf == nil {
			continue
		}
		state := "up"
		select {
		case <-lf.over:
			state = "down"
		default:
		}
		machines = append(machines, map[string]any{
			"machine": fmt.Sprintf("m-%d", n), "pool": poolName, "state": state, "zone": "z1", "labels": []string{lf.kind, "r1-1"},
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "id": w.id,
		})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": machines, "next_token": ""})
}

// call sends one request. The status is zero without a response.
func (s *system) call(method, address, path, host string, body []byte) (int, []byte, string) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	if host != "" {
		req.Host = host
		req.Header.Set("X-Deadline-Ms", "3000")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.client.Do(req)
	if err != nil {
		return 0, nil, ""
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, ""
	}
	return res.StatusCode, data, res.Request.URL.Host
}

// putConfig sends a configuration to the controllers in turn.
func (s *system) putConfig(version int) bool {
	for n := range 3 {
		status, _, _ := s.call(http.MethodPut, s.ip(1, n)+":8623", "/config", "", fmt.Appendf(nil, configText, version))
		if status == http.StatusOK {
			s.l.note("operator: configuration %d acknowledged", version)
			return true
		}
	}
	return false
}

// leader returns the controller that answers for the group.
func (s *system) leader() *process {
	for _, p := range s.processes[:3] {
		status, _, host := s.call(http.MethodGet, p.ip+":8623", "/config", "", nil)
		if status != http.StatusOK {
			continue
		}
		for _, q := range s.processes[:3] {
			if host == q.ip+":8623" {
				return q
			}
		}
	}
	return nil
}

// submit hands in a job until it is accepted or rejected, at most five times. After no response, a 502 or a 504 the
// same ID is sent again, to the other entry instance.
func (s *system) submit(id string, steps []step) bool {
	s.l.mu.Lock()
	s.l.jobs[id] = steps
	s.l.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"spec": "x", "steps": steps})
	for n := range 5 {
		status, _, _ := s.call(http.MethodPost, s.ip(2, n%2)+":8624", prefix+id, queueHost, body)
		s.l.note("client: POST %s: %d", id, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, or an empty string.
func (s *system) state(id string) (string, int) {
	for n := range 2 {
		status, data, _ := s.call(http.MethodGet, s.ip(2, n)+":8624", prefix+id, queueHost, nil)
		var job struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &job) == nil {
			return job.State, status
		}
		if status == http.StatusGone {
			return "", status
		}
	}
	return "", 0
}

// pending returns how many jobs an entry instance gives as pending.
func (s *system) pending(entry int) (int, bool) {
	status, data, _ := s.call(http.MethodGet, s.ip(2, entry)+":8624", prefix, queueHost, nil)
	var count struct {
		Pending int `json:"pending"`
	}
	return count.Pending, status == http.StatusOK && json.Unmarshal(data, &count) == nil
}

// await waits until all jobs are complete and returns whether they are.
func (s *system) await(ids []string, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, id := range ids {
		for {
			state, status := s.state(id)
			if state == "complete" {
				break
			}
			if time.Now().After(deadline) {
				s.l.note("client: job %s is %q (%d) at the end", id, state, status)
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.l.note("client: all %d jobs are complete", len(ids))
	return true
}
