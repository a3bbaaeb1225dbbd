//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settingsFormat is the settings file of one process, in the format of DEPLOY.md with the bounds of kes-imaging.
const settingsFormat = `node: "%[1]s"
role: "%[2]s"
class: "%[3]s"
ip: "%[4]s"
zone: "z1"
region: "r1"
zones: {z1: "r1"}
listen: {front: "%[4]s:8624", ready: "%[4]s:8622", control: "%[4]s:8623"}
internal_port_range: [7060, 7075]
seeds: [%[5]s]
bootstrap: %[6]t
counts_as_loss: %[6]t
limits: {cpu_share: 0.624, cores: 1, memory_mb: 280, max_fds: 4096, link_mbps: 1000.0, disk_mb: 128}
data_dir: %[7]s
discovery: "registry"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"%[10]s]
tolerate: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catchup_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, hold_max_ms: 6000, stop_ms: 400, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, far_x: %[11]g, checkpoint_s: 1, restore_ms: 600, notice_ms: 4500, move_s: 1.5, maintenance_s: 2, fencing: false, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000%[9]s}
config_mode: "highest"
orders: "rpc"
advice: "%[8]s"
cloud_api: {address: "%[8]s", rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`

const (
	controllers = 3
	entries     = 2
	tenantKey   = "k-5d1e07"
)

// process is one process of the system.
type process struct {
	name, role, ip, settings string
	cmd                      *exec.Cmd
	exited                   chan struct{}
	expected                 bool
}

// system is the system under test with its platform.
type system struct {
	w         *world
	network   int
	guard     net.Listener // marks the loopback network as used
	folder    string
	bin       string
	log       *os.File
	processes []*process
	workers   []*worker
	platform  *http.Server
	client    *http.Client
	mu        sync.Mutex
	next      int
	adviceMs  int // validity of tickets

	hasTenants bool    // the configuration has a tenant, whose key the clients send
	farX       float64 // far_x of the settings
}

func (s *system) ip(octet, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.network, octet, n+1) }

// newSystem starts three controllers, two entry instances and the platform.
func newSystem(w *world, bin string, hasTenants bool, farX float64) (*system, error) {
	s := &system{w: w, bin: bin, hasTenants: hasTenants, farX: farX, adviceMs: 3000, client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 32},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for range 250 {
		s.network = 1 + rand.IntN(250)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:8600", s.network))
		if err == nil {
			s.guard = listener
			break
		}
	}
	if s.guard == nil {
		return nil, fmt.Errorf("no free loopback network")
	}
	var err error
	s.folder, err = os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	s.log, err = os.Create(filepath.Join(s.folder, "log"))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	listener, err := net.Listen("tcp", s.ip(4, 0)+":8621")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s.platform = &http.Server{Handler: http.HandlerFunc(s.servePlatform)}
	go func() { _ = s.platform.Serve(listener) }()
	for n := range controllers {
		err = s.add("control", "core", 1, n)
		if err != nil {
			return nil, err
		}
	}
	for n := range entries {
		err = s.add("entry", "edge", 2, n)
		if err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *system) add(role, class string, octet, n int) error {
	p := &process{name: fmt.Sprintf("%s-z1-%d", class, n+1), role: role, ip: s.ip(octet, n)}
	p.settings = filepath.Join(s.folder, p.name+".yaml")
	err := s.writeSettings(p, role == "control")
	if err != nil {
		return err
	}
	s.processes = append(s.processes, p)
	return s.start(p)
}

func (s *system) writeSettings(p *process, bootstrap bool) error {
	var seeds []string
	for n := range controllers {
		seeds = append(seeds, fmt.Sprintf("%q", s.ip(1, n)+":8623"))
	}
	data, class := "null", "edge"
	if p.role == "control" {
		class = "core"
		folder := filepath.Join(s.folder, p.name)
		err := os.MkdirAll(folder, 0o700)
		if err != nil {
			return fmt.Errorf("create data folder: %w", err)
		}
		data = fmt.Sprintf("%q", folder)
	}
	bounds, contracts := "", ""
	if s.hasTenants {
		bounds, contracts = ", strict_revoke: true, revoke_ms: 5000, quota_window_s: 5, quota_burst: 0.1, quota_slack: 20", `, "tenants", "quota"`
	}
	text := fmt.Sprintf(settingsFormat, p.name, p.role, class, p.ip, strings.Join(seeds, ", "), bootstrap, data, s.ip(4, 0)+":8621", bounds, contracts, s.farX)
	err := os.WriteFile(p.settings, []byte(text), 0o600)
	if err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

func (s *system) start(p *process) error {
	cmd := exec.Command(s.bin, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMWIND_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = s.log, s.log
	err := cmd.Start()
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	s.mu.Lock()
	p.cmd, p.exited, p.expected = cmd, exited, false
	s.mu.Unlock()
	go func() {
		err := cmd.Wait()
		close(exited)
		s.mu.Lock()
		expected := p.expected
		s.mu.Unlock()
		if !expected {
			s.w.mu.Lock()
			s.w.violate("Fault", "%s ended by itself: %v", p.name, err)
			s.w.mu.Unlock()
		}
	}()
	return nil
}

// end sends a signal that ends a process, and waits for its end.
func (s *system) end(p *process, sig syscall.Signal) {
	s.mu.Lock()
	p.expected = true
	s.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	<-p.exited
}

// stop ends all processes and removes the folder, unless it is kept.
func (s *system) stop(keep bool) {
	for _, p := range s.processes {
		s.end(p, syscall.SIGKILL)
	}
	for _, w := range s.workers {
		w.stop()
	}
	_ = s.platform.Close()
	_ = s.guard.Close()
	_ = s.log.Close()
	if keep {
		fmt.Println("logs in", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

// addWorkers starts workers, a number to each rack.
func (s *system) addWorkers(count, perRack int) error {
	for n := range count {
		w, err := newWorker(s, n, fmt.Sprintf("r1-%d", n/perRack))
		if err != nil {
			return err
		}
		s.w.mu.Lock()
		s.workers = append(s.workers, w)
		s.w.mu.Unlock()
	}
	return nil
}

// servePlatform serves the list of machines and the advice.
func (s *system) servePlatform(rw http.ResponseWriter, r *http.Request) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	switch r.URL.Path {
	case "/machines":
		machines := []any{}
		for _, w := range s.workers {
			machines = append(machines, map[string]any{
				"machine": "m-" + w.id, "pool": w.pool, "state": "up", "zone": "z1", "labels": []string{"a", w.rack},
				"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "id": w.id,
			})
		}
		writeJSON(rw, http.StatusOK, map[string]any{"machines": machines})
	case "/advise":
		var body struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		good := [][]any{}
		for _, id := range body.Workers {
			value := fmt.Sprintf("%08x-%s", rand.Uint32(), id)
			s.w.tickets[value] = ticket{step: body.Step, worker: id, until: time.Now().Add(time.Duration(s.adviceMs) * time.Millisecond)}
			good = append(good, []any{id, value})
		}
		s.w.note("advice for %s on %v", body.Step, body.Workers)
		writeJSON(rw, http.StatusOK, map[string]any{"good": good, "valid_ms": s.adviceMs})
	default:
		s.w.note("platform: %s %s", r.Method, r.URL.Path)
		writeJSON(rw, http.StatusConflict, map[string]any{"reason": "busy"})
	}
}

// call sends one request and returns its status, zero without a response, its body and where it is redirected.
func (s *system) call(method, url string, header map[string]string, body any, timeout time.Duration) (int, []byte, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	switch b := body.(type) {
	case nil:
	case string:
		reader = strings.NewReader(b)
	default:
		reader = jsonBody(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, ""
	}
	for name, value := range header {
		if name == "Host" {
			req.Host = value
			continue
		}
		req.Header.Set(name, value)
	}
	res, err := s.client.Do(req)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, ""
	}
	return res.StatusCode, data, res.Header.Get("Location")
}

// callControl sends a request to a controller, follows two redirects, and moves on to another after a failure.
func (s *system) callControl(method, path string, body any, timeout time.Duration) int {
	s.mu.Lock()
	first := s.next
	s.next++
	s.mu.Unlock()
	status := 0
	for n := range controllers {
		url := "http://" + s.ip(1, (first+n)%controllers) + ":8623" + path
		for range 3 {
			var location string
			status, _, location = s.call(method, url, map[string]string{"Content-Type": "application/json"}, body, timeout)
			if status != http.StatusTemporaryRedirect || location == "" {
				break
			}
			url = location
		}
		if status != 0 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusTemporaryRedirect {
			return status
		}
	}
	return status
}

// route is a route of a configuration.
type route struct {
	name, prefix, service string
	advice, public        bool
}

func configBody(version int, routes []route, services ...string) map[string]any {
	var rs, ss []any
	for _, r := range routes {
		body := map[string]any{"name": r.name, "host": "h.example", "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 600, "priority": 0, "service": r.service, "attempts": attempts, "stretch": 1.6, "public": r.public}
		if r.advice {
			body["advice"] = map[string]any{"decide_ms": 5, "each_ms": 1, "valid_ms": 3000}
		}
		rs = append(rs, body)
	}
	for _, name := range services {
		ss = append(ss, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "standby": false})
	}
	return map[string]any{"version": version, "routes": rs, "services": ss, "limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// withTenant adds a tenant to a configuration. With maxCPU zero, it has no limit.
func withTenant(config map[string]any, maxCPU int) map[string]any {
	config["tenants"] = []any{map[string]any{"name": "t", "api_keys": []string{tenantKey}, "weight": 1, "max_count": map[string]int{"cpu": maxCPU, "mem_mb": 0, "gpu": 0}}}
	return config
}

// putConfig sends a configuration until it is acknowledged.
func (s *system) putConfig(config map[string]any) bool {
	for range 60 {
		status := s.callControl(http.MethodPut, "/config", config, time.Second)
		if status == http.StatusOK {
			s.w.Note("operator: configuration %v is acknowledged", config["version"])
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// front calls an entry instance.
func (s *system) front(method, path string, body any) (int, []byte) {
	s.mu.Lock()
	n := s.next
	s.next++
	s.mu.Unlock()
	header := map[string]string{"Host": "h.example", "Content-Type": "application/json", "X-Deadline-Ms": "3000"}
	if s.hasTenants {
		header["X-Key"] = tenantKey
	}
	status, data, _ := s.call(method, "http://"+s.ip(2, n%entries)+":8624"+path, header, body, 3*time.Second)
	return status, data
}

// submit hands a job in until it is accepted, or returns false.
func (s *system) submit(j *job) bool {
	if j.id == "" {
		j.id = fmt.Sprintf("%016x", rand.Uint64())
	}
	s.w.mu.Lock()
	s.w.jobs[j.id] = j
	s.w.mu.Unlock()
	for range 40 {
		status, _ := s.front(http.MethodPost, j.path+j.id, j)
		s.w.Note("client: POST %s%s -> %d", j.path, j.id, status)
		if status >= 200 && status < 300 {
			s.w.mu.Lock()
			j.accepted = time.Now()
			s.w.mu.Unlock()
			return true
		}
		if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as a client sees it, or the status of the answer.
func (s *system) state(j *job) string {
	status, data := s.front(http.MethodGet, j.path+j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}

// await waits until a job is complete. It returns the last state.
func (s *system) await(j *job, limit time.Duration) string {
	deadline := time.Now().Add(limit)
	last := ""
	for {
		state := s.state(j)
		if state != last {
			s.w.Note("client: GET %s%s -> %s", j.path, j.id, state)
			last = state
		}
		if state == "complete" || state == "failed" || state == "canceled" || time.Now().After(deadline) {
			return state
		}
		time.Sleep(100 * time.Millisecond)
	}
}
