package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"laburnumwind/announcer"
	"laburnumwind/forwarder"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

const (
	leaveTime         = 2 * time.Second // in which every entry instance hears of a leave
	announceTimeout   = time.Second
	retryInterval     = 200 * time.Millisecond
	stopTimeout       = 30 * time.Second
	readHeaderTimeout = 10 * time.Second
	mostBytes         = 64 << 20
	keptBytes         = 64 << 10
)

// Faults are the switches of an endpoint.
type Faults struct {
	Delay    time.Duration // run time of an attempt
	Fail     float64       // part of the attempts that fail with status 500
	Truncate float64       // part of the answers that are cut short
	Late     float64       // part of the answers that come LateBy later
	LateBy   time.Duration
	Hang     float64       // part of the attempts that never answer
	Reboot   time.Duration // time that a reboot takes
}

// Config describes an endpoint.
type Config struct {
	Instance    string
	Zone        string
	Rack        string
	Slots       int
	Connections int
	Address     string   // IP and port to listen at; port 0 takes a free one
	Entries     []string // URLs of the endpoint listeners of its zone
	Token       string   // that it shows and wants to be shown
	Faults      Faults
	Seed        uint64
	Client      *http.Client
	Started     func(customer, key, attempt string) // is told of each start
}

// Endpoint is a running stand-in.
type Endpoint struct {
	cfg     Config
	address string
	wake    chan struct{} // announce now
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu     sync.Mutex
	server *http.Server
	state  State
	random *rand.Rand
	faults Faults
	entry  int
	down   bool // rebooting
}

// NewEndpoint starts an endpoint.
func NewEndpoint(cfg Config) (*Endpoint, error) {
	listen, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{
		cfg:     cfg,
		address: listen.Addr().String(),
		wake:    make(chan struct{}, 1),
		cancel:  cancel,
		state:   NewState(uint64(time.Now().UnixNano()), cfg.Slots),
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		faults:  cfg.Faults,
	}
	e.serve(listen)
	e.done.Go(func() {
		interval := time.Duration(0)
		for {
			select {
			case <-time.After(interval):
			case <-e.wake:
			case <-ctx.Done():
				return
			}
			interval = e.announce(ctx)
		}
	})
	return e, nil
}

// serve takes requests at a listener until the server is closed.
func (e *Endpoint) serve(listen net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(forwarder.PathRevoke, e.serveRevoke)
	mux.HandleFunc("/", e.serveAttempt)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	e.server = server
	e.done.Go(func() { _ = server.Serve(listen) }) // ends with the server
}

// Address is where the endpoint listens.
func (e *Endpoint) Address() string { return e.address }

// Leave tells all entry instances that the endpoint takes no new work.
func (e *Endpoint) Leave(ctx context.Context) {
	e.mu.Lock()
	e.state = e.state.WithLeaving()
	e.mu.Unlock()
	for _, url := range e.cfg.Entries {
		_, _ = e.tell(ctx, url) // one that does not hear it is refused
	}
}

// Stop leaves, lets what runs end, and closes.
func (e *Endpoint) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	e.Leave(ctx)
	<-time.After(leaveTime) // an entry instance that has not heard yet is refused, not cut off
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	err := server.Shutdown(ctx)
	e.Leave(ctx) // now empty
	e.cancel()
	e.done.Wait()
	if err != nil {
		return fmt.Errorf("stop endpoint: %w", err)
	}
	return nil
}

// Kill closes at once.
func (e *Endpoint) Kill() {
	e.cancel()
	e.mu.Lock()
	_ = e.server.Close()
	e.mu.Unlock()
	e.done.Wait()
}

// announce tells one entry instance, another one if that is silent, and
// returns the time until the next announcement.
func (e *Endpoint) announce(ctx context.Context) time.Duration {
	if e.isDown() {
		return retryInterval
	}
	for range e.cfg.Entries {
		reply, err := e.tell(ctx, e.cfg.Entries[e.entry%len(e.cfg.Entries)])
		if err != nil {
			e.entry++
			continue
		}
		return e.adopt(reply)
	}
	return retryInterval
}

func (e *Endpoint) tell(ctx context.Context, url string) (announcer.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply announcer.Reply
	request, err := sling.New().Post(url+announcer.PathAnnounce).
		Set("Authorization", "Bearer "+e.cfg.Token).
		BodyJSON(e.word()).Request()
	if err != nil {
		return reply, fmt.Errorf("make announcement: %w", err)
	}
	response, err := e.cfg.Client.Do(request.WithContext(ctx))
	if err != nil {
		return reply, fmt.Errorf("announce: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("announce: status %d: %w", response.StatusCode, errors.ErrUnsupported)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, keptBytes)).Decode(&reply)
	if err != nil {
		return reply, fmt.Errorf("read reply: %w", err)
	}
	return reply, nil
}

func (e *Endpoint) word() announcer.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return announcer.Announcement{
		Instance:    e.cfg.Instance,
		Incarnation: e.state.incarnation,
		Address:     e.Address(),
		Zone:        e.cfg.Zone,
		Rack:        e.cfg.Rack,
		Slots:       e.cfg.Slots,
		Connections: e.cfg.Connections,
		InUse:       e.state.running,
		Epoch:       e.state.epoch,
		Empty:       e.state.IsEmpty(),
		Leaving:     e.state.leaving,
	}
}

func (e *Endpoint) adopt(reply announcer.Reply) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.state.epoch
	e.state = e.state.Adopt(reply)
	if e.state.place == keeper.Maintenance.String() {
		e.reboot()
		return retryInterval
	}
	if e.state.epoch != before || reply.Place == keeper.Unknown.String() {
		return retryInterval // the news of a change is worth an answer
	}
	return time.Duration(reply.IntervalSeconds * float64(time.Second))
}

// reboot takes the endpoint down for a while; it comes back under a new incarnation.
func (e *Endpoint) reboot() {
	e.down = true
	e.state = NewState(0, e.cfg.Slots)
	_ = e.server.Close() // nothing is in progress
	time.AfterFunc(e.faults.Reboot, e.comeBack)
}

func (e *Endpoint) comeBack() {
	e.mu.Lock()
	defer e.mu.Unlock()
	listen, err := net.Listen("tcp", e.address)
	if err != nil {
		time.AfterFunc(retryInterval, e.comeBack)
		return
	}
	e.down = false
	e.state = NewState(uint64(time.Now().UnixNano()), e.cfg.Slots)
	e.serve(listen)
	e.announceSoon()
}

func (e *Endpoint) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func (e *Endpoint) announceSoon() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Endpoint) trusts(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("Authorization") == "Bearer "+e.cfg.Token {
		return true
	}
	http.Error(w, http.StatusText(http.StatusUnauthorized), http.StatusUnauthorized)
	return false
}

func (e *Endpoint) serveRevoke(w http.ResponseWriter, r *http.Request) {
	if !e.trusts(w, r) {
		return
	}
	var in forwarder.RevokeRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, keptBytes)).Decode(&in)
	if err != nil || in.Attempt == "" {
		http.Error(w, "malformed revocation", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	var reply forwarder.RevokeReply
	e.state, reply = e.state.Revoke(time.Now(), in.Attempt)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // a caller that is gone asks again
}

func (e *Endpoint) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if !e.trusts(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBytes))
	if err != nil {
		return // the attempt did not come whole
	}
	call := readCall(r)
	e.mu.Lock()
	var reason messenger.NotStartedReason
	e.state, reason = e.state.Begin(time.Now(), e.cfg.Instance, call)
	inUse := e.state.running
	plan := e.draw()
	e.mu.Unlock()
	w.Header().Set(forwarder.HeaderInUse, strconv.Itoa(inUse))
	if reason != "" {
		w.Header().Set(forwarder.HeaderStarted, string(reason))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.cfg.Started != nil {
		e.cfg.Started(r.Header.Get(forwarder.HeaderCustomer), r.Header.Get(forwarder.HeaderKey), call.Attempt)
	}
	e.run(w, r, call, plan, body)
}

func readCall(r *http.Request) Call {
	epoch, _ := strconv.ParseUint(r.Header.Get(forwarder.HeaderEpoch), 10, 64)
	deadline, _ := strconv.ParseInt(r.Header.Get(forwarder.HeaderDeadline), 10, 64)
	return Call{
		Attempt:  r.Header.Get(forwarder.HeaderAttempt),
		Instance: r.Header.Get(forwarder.HeaderInstance),
		Epoch:    epoch,
		Once:     r.Header.Get(forwarder.HeaderOnce) == "1",
		Deadline: time.UnixMilli(deadline),
	}
}

// plan is what the fault switches make of one attempt.
type plan struct {
	delay    time.Duration
	fail     bool
	truncate bool
	hang     bool
}

func (e *Endpoint) draw() plan {
	f := e.faults
	p := plan{
		delay:    f.Delay,
		fail:     e.random.Float64() < f.Fail,
		truncate: e.random.Float64() < f.Truncate,
		hang:     e.random.Float64() < f.Hang,
	}
	if e.random.Float64() < f.Late {
		p.delay += f.LateBy
	}
	return p
}

// run does the work of an attempt: it echoes the body after a while. What
// started goes on if the caller goes away.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, call Call, p plan, body []byte) {
	status := http.StatusOK
	if p.fail {
		status = http.StatusInternalServerError
	}
	if p.hang {
		<-r.Context().Done()
	}
	if p.delay > 0 && !p.hang {
		<-time.After(p.delay)
	}
	reply := forwarder.RevokeReply{Status: status, ContentType: r.Header.Get("Content-Type")}
	if len(body) <= keptBytes {
		reply.Body = body
	}
	e.mu.Lock()
	e.state = e.state.End(time.Now(), call.Attempt, reply)
	inUse := e.state.running
	drained := e.state.IsEmpty()
	e.mu.Unlock()
	if drained {
		e.announceSoon()
	}
	h := w.Header()
	h.Set(forwarder.HeaderInUse, strconv.Itoa(inUse))
	h.Set("Content-Type", r.Header.Get("Content-Type"))
	h.Set("Endpoint-Instance", e.cfg.Instance)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if p.truncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler) // cuts the connection
	}
	_, _ = w.Write(body) // a caller that is gone gets nothing
}
