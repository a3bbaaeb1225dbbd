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
	"sync"
	"syscall"
	"time"
)

const (
	controllers  = 3
	entries      = 2
	restartDelay = 300 * time.Millisecond
	startTimeout = 15 * time.Second
	callTimeout  = time.Second
)

// settingsText is the settings file of a process, with the values of a small deployment.
const settingsText = `node: %[1]q
role: %[2]q
class: %[3]q
serves: [%[4]q]
ip: %[5]q
zone: "z1"
region: "r"
zones: {z1: "r"}
listen: {front: "%[5]s:8624", ready: "%[5]s:8622", control: "%[5]s:8623"}
internal_port_range: [7060, 7075]
seeds: [%[6]s]
bootstrap: %[7]t
counts_as_loss: %[7]t
limits: {cpu_share: 0.56, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 200.0, disk_mb: 128}
data_dir: %[8]q
discovery: "registry"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"]
tolerate: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catchup_s: 4, drain_ms: 2000, grace_s: 6,
  loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, hold_max_ms: 6000,
  stop_ms: 900, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, far_x: 2,
  checkpoint_s: 2, restore_ms: 250, notice_ms: 4500, move_s: 1.5, maintenance_s: 2, fencing: false, lease_ms: 3000,
  thaw_ms: 300, pace_ms: 100, harm_ms: 4000}
config_mode: "highest"
orders: "rpc"
advice: %[9]q
cloud_api: {address: %[9]q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`

// config has one queue and one pool.
const config = `{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":600,"priority":0,"service":"a","attempts":3,"stretch":1.6}],"services":[{"name":"a","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"rejects_overload":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// process is one process of the system. It is restarted if it ends by itself.
type process struct {
	name, role, ip, settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	asked   bool // it was sent SIGTERM, so its next end is not one by itself
	ends    int  // how often it ended by itself
}

// system is the processes, the workers and the provider of one case.
type system struct {
	rec       *record
	folder    string
	network   int
	fleet     *fleet
	provider  *provider
	log       *os.File
	processes []*process
	client    *http.Client
	wg        sync.WaitGroup
	turn      int
}

// ip returns an address of the loopback network of this system.
func (s *system) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.network, group, 1+n) }

// findNetwork returns the second octet of a loopback network in which all ports of the system are free.
func findNetwork() (int, error) {
	for n := range 200 {
		octet := 20 + (os.Getpid()+n)%200
		reserved, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:8600", octet)) // as the soak does, until the program ends
		if err != nil {
			continue
		}
		free := true
		for group, count := range map[int]int{1: controllers, 2: entries} {
			for i := range count {
				for _, port := range []int{7060, 8622, 8623, 8624, 9464} {
					listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", octet, group, 1+i, port))
					if err != nil {
						free = false
						continue
					}
					_ = listener.Close()
				}
			}
		}
		if free {
			return octet, nil
		}
		_ = reserved.Close()
	}
	return 0, fmt.Errorf("no free loopback network")
}

// newSystem starts the provider, the processes and the workers, and sends the configuration.
func newSystem(rec *record, workers int) (*system, error) {
	network, err := findNetwork()
	if err != nil {
		return nil, err
	}
	s := &system{
		rec: rec, network: network, fleet: newFleet(rec),
		client: &http.Client{Timeout: 4 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}
	s.folder, err = os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	s.log, err = os.Create(filepath.Join(s.folder, "log"))
	if err != nil {
		return s, fmt.Errorf("create log: %w", err)
	}
	s.provider = &provider{fleet: s.fleet, rec: rec, upkeep: make(map[string]bool), done: make(map[string]bool)}
	listener, err := net.Listen("tcp", s.ip(4, 0)+":0")
	if err != nil {
		return s, fmt.Errorf("start provider: %w", err)
	}
	go func() { _ = http.Serve(listener, s.provider) }() // until the program ends
	err = s.startProcesses(listener.Addr().String())
	if err != nil {
		return s, err
	}
	for n := range workers {
		w, err := newWorker(s.fleet, fmt.Sprintf("i-%d", n), fmt.Sprintf("r1-%d", n/4), s.ip(3, n))
		if err != nil {
			return s, err
		}
		go s.sendHeartbeats(w)
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, _ := s.control(http.MethodPut, "/config", config)
		if status == http.StatusOK {
			time.Sleep(2 * heartbeatInterval) // all workers have registered
			return s, nil
		}
	}
	return s, fmt.Errorf("no configuration was accepted")
}

func (s *system) startProcesses(provider string) error {
	var seeds []string
	for n := range controllers {
		seeds = append(seeds, fmt.Sprintf("%q", s.ip(1, n)+":8623"))
	}
	for n := range controllers + entries {
		p := &process{name: fmt.Sprintf("core-%d", n+1), role: "control", ip: s.ip(1, n)}
		class := "core"
		if n >= controllers {
			p = &process{name: fmt.Sprintf("edge-%d", n-controllers+1), role: "entry", ip: s.ip(2, n-controllers)}
			class = "edge"
		}
		data := filepath.Join(s.folder, p.name)
		p.settings = data + ".yaml"
		serves := map[string]string{"core": "control", "edge": "edge"}[class]
		text := fmt.Sprintf(settingsText, p.name, p.role, class, serves, p.ip, strings.Join(seeds, ","), class == "core", data, provider)
		err := os.MkdirAll(data, 0o700)
		if err == nil {
			err = os.WriteFile(p.settings, []byte(text), 0o600)
		}
		if err != nil {
			return fmt.Errorf("prepare %s: %w", p.name, err)
		}
		s.processes = append(s.processes, p)
		started.mu.Lock()
		started.processes = append(started.processes, p)
		started.mu.Unlock()
		err = s.start(p)
		if err != nil {
			return err
		}
	}
	return nil
}

// start starts a process and restarts it after a short delay whenever it ends by itself.
func (s *system) start(p *process) error {
	cmd := exec.Command("target/laburnumd", p.role)
	cmd.Env = append(os.Environ(), "LABURNUMWIND_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = s.log, s.log
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	err := cmd.Start()
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd = cmd
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = cmd.Wait() // the state is read below
		p.mu.Lock()
		stopped := p.stopped
		if !stopped && !p.asked {
			p.ends++
			s.rec.line("%s ENDS BY ITSELF: %s, end %d", p.name, cmd.ProcessState, p.ends)
		}
		p.asked = false
		p.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(restartDelay)
		_ = s.start(p) // a process that cannot be started again stays down
	}()
	return nil
}

// started holds all processes of the system, for killAll.
var started struct {
	mu        sync.Mutex
	processes []*process
}

// killAll ends all processes that this program has started.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		p.mu.Lock()
		p.stopped = true
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		}
		p.mu.Unlock()
	}
}

// close ends all processes and removes their files.
func (s *system) close() {
	killAll()
	s.wg.Wait()
	kept := os.Getenv("KEEP_LOG")
	if kept != "" {
		data, err := os.ReadFile(s.log.Name())
		if err == nil {
			_ = os.WriteFile(kept, data, 0o600)
		}
	}
	_ = s.log.Close()
	_ = os.RemoveAll(s.folder)
}

func (s *system) sendHeartbeats(w *worker) {
	for {
		body := w.heartbeat()
		if body != nil {
			data, err := json.Marshal(body)
			if err == nil {
				s.control(http.MethodPut, "/instances/"+w.id, string(data))
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// control calls the controllers in turn until one answers, and follows redirects twice.
func (s *system) control(method, path, body string) (int, []byte) {
	for n := range controllers {
		url := fmt.Sprintf("http://%s:8623%s", s.ip(1, (s.nextTurn()+n)%controllers), path)
		for range 3 {
			status, location, data := s.call(method, url, body, callTimeout)
			if status == http.StatusTemporaryRedirect {
				url = location
				continue
			}
			if status != 0 && status < http.StatusInternalServerError {
				return status, data
			}
			break
		}
	}
	return 0, nil
}

func (s *system) nextTurn() int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.turn++
	return s.turn
}

// entry calls the entry instances in turn until one answers with a status that is final for a client.
func (s *system) entry(method, path, body string) (int, []byte) {
	for range 4 {
		url := fmt.Sprintf("http://%s:8624%s", s.ip(2, s.nextTurn()%entries), path)
		status, _, data := s.call(method, url, body, 3*time.Second)
		if status != 0 && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			return status, data
		}
		s.rec.line("client: %s %s: %d", method, path, status)
		time.Sleep(200 * time.Millisecond)
	}
	return 0, nil
}

// call sends one request. The status is zero without a response.
func (s *system) call(method, url, body string, timeout time.Duration) (int, string, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", nil
	}
	req.Host = "h"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := *s.client
	client.Timeout = timeout
	res, err := client.Do(req)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", nil
	}
	return res.StatusCode, res.Header.Get("Location"), data
}

// submit hands in a job and returns its ID.
func (s *system) submit(id string, steps ...step) error {
	var list []any
	for _, st := range steps {
		fields := map[string]any{"count": st.count, "cpu": st.cpu, "mem_mb": 256, "estimate_ms": st.work.Milliseconds()}
		if st.gang {
			fields["gang"], fields["anti_affinity"] = true, 1
		}
		if st.lasts {
			fields["long_running"], fields["may_miss"], fields["anti_affinity"] = true, st.mayMiss, 1
		}
		if st.saves {
			fields["checkpointable"] = true
		}
		list = append(list, fields)
	}
	data, err := json.Marshal(map[string]any{"spec": "x", "steps": list})
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	s.fleet.mu.Lock()
	s.fleet.jobs[id] = steps
	s.fleet.mu.Unlock()
	status, _ := s.entry(http.MethodPost, "/q/"+id, string(data))
	s.rec.line("client: POST of job %s with %s: %d", id, data, status)
	if status != http.StatusOK {
		return fmt.Errorf("job %s: status %d", id, status)
	}
	return nil
}

// state returns the state of a job, or an empty string if it cannot be read.
func (s *system) state(id string) string {
	_, data := s.entry(http.MethodGet, "/q/"+id, "")
	var body struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &body) != nil {
		return ""
	}
	return body.State
}

// await waits until a job is complete, and returns whether it is.
func (s *system) await(id string, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if s.state(id) == "complete" {
			s.rec.line("client: job %s is complete", id)
			return true
		}
	}
	return false
}
