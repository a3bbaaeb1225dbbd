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
	leaveDelay        = 2 * time.Second        // from Leave to the shutdown of the server; within it all entry instances learn of the leave
	announceTimeout   = time.Second            // timeout of one announcement
	retryInterval     = 200 * time.Millisecond // until the next announcement after a failure or a change of state, or the next try to listen after a reboot
	stopTimeout       = 30 * time.Second       // maximum duration of Stop while attempts are running
	readHeaderTimeout = 10 * time.Second
	maxBodyBytes      = 64 << 20 // maximum size of a request body
	maxMessageBytes   = 64 << 10 // maximum size of a revocation, of a reply to an announcement, and of an answer that is stored for the reply to a revocation
)

// Faults configures the fault injection of an endpoint. Fractions are from 0 to 1.
type Faults struct {
	Delay    time.Duration // run time of each attempt
	Fail     float64       // fraction of attempts that fail with status 500
	Truncate float64       // fraction of answers that are truncated
	Late     float64       // fraction of answers that are delayed by LateBy
	LateBy   time.Duration
	Hang     float64       // fraction of attempts that get no answer until the caller disconnects
	Reboot   time.Duration // duration of a reboot
}

// Config describes an endpoint.
type Config struct {
	Instance    string
	Zone        string
	Rack        string
	Slots       int
	Connections int      // maximum number of connections, as announced; 0 announces no limit
	Address     string   // IP and port to listen on; port 0 selects a free one
	Entries     []string // URLs of the endpoint listeners in its zone
	Token       string   // sent with announcements and required of every request
	Faults      Faults
	Seed        uint64 // of the random faults
	Client      *http.Client
	OnStart     func(customer, key, attempt string) // if not nil, called at the start of each attempt
}

// Endpoint is a running emulated endpoint.
type Endpoint struct {
	cfg         Config
	address     string
	announceNow chan struct{} // requests an immediate announcement
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu        sync.Mutex
	server    *http.Server
	state     State
	random    *rand.Rand
	faults    Faults
	entry     int // entry instance to announce to next: index in cfg.Entries, modulo its length
	rebooting bool
}

// NewEndpoint starts an endpoint that announces itself until Stop or Kill. It returns an
// error if the address can't be listened on.
func NewEndpoint(cfg Config) (*Endpoint, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{
		cfg:         cfg,
		address:     listener.Addr().String(),
		announceNow: make(chan struct{}, 1),
		cancel:      cancel,
		state:       NewState(uint64(time.Now().UnixNano()), cfg.Slots),
		random:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		faults:      cfg.Faults,
	}
	e.serve(listener)
	e.wg.Go(func() {
		interval := time.Duration(0)
		for {
			select {
			case <-time.After(interval):
			case <-e.announceNow:
			case <-ctx.Done():
				return
			}
			interval = e.announce(ctx)
		}
	})
	return e, nil
}

// serve handles requests on a listener until the server is closed.
func (e *Endpoint) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(forwarder.PathRevoke, e.serveRevoke)
	mux.HandleFunc("/", e.serveAttempt)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	e.server = server
	e.wg.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.address }

// Leave refuses new attempts from now on and announces this to all configured entry
// instances.
func (e *Endpoint) Leave(ctx context.Context) {
	e.mu.Lock()
	e.state = e.state.WithLeaving()
	e.mu.Unlock()
	for _, url := range e.cfg.Entries {
		_, _ = e.sendAnnouncement(ctx, url) // an entry instance that gets no announcement sends attempts that are refused
	}
}

// Stop leaves, waits for running attempts to end, and closes the endpoint. It returns an
// error if attempts are still running after stopTimeout.
func (e *Endpoint) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	e.Leave(ctx)
	<-time.After(leaveDelay) // an entry instance that does not know of the leave yet gets a refusal instead of a connection error
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	err := server.Shutdown(ctx)
	e.Leave(ctx) // announces that the endpoint is empty
	e.cancel()
	e.wg.Wait()
	if err != nil {
		return fmt.Errorf("stop endpoint: %w", err)
	}
	return nil
}

// Kill closes the endpoint without waiting for running attempts.
func (e *Endpoint) Kill() {
	e.cancel()
	e.mu.Lock()
	_ = e.server.Close()
	e.mu.Unlock()
	e.wg.Wait()
}

// announce sends an announcement to one entry instance, and if that fails to the next,
// until one replies. It returns the time until the next announcement.
func (e *Endpoint) announce(ctx context.Context) time.Duration {
	if e.isRebooting() {
		return retryInterval
	}
	for range e.cfg.Entries {
		reply, err := e.sendAnnouncement(ctx, e.cfg.Entries[e.entry%len(e.cfg.Entries)])
		if err != nil {
			e.entry++
			continue
		}
		return e.applyReply(reply)
	}
	return retryInterval
}

// sendAnnouncement announces the endpoint to the entry instance at a URL and returns the
// reply.
func (e *Endpoint) sendAnnouncement(ctx context.Context, url string) (announcer.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply announcer.Reply
	request, err := sling.New().Post(url+announcer.PathAnnounce).
		Set("Authorization", "Bearer "+e.cfg.Token).
		BodyJSON(e.announcement()).Request()
	if err != nil {
		return reply, fmt.Errorf("build announcement: %w", err)
	}
	response, err := e.cfg.Client.Do(request.WithContext(ctx))
	if err != nil {
		return reply, fmt.Errorf("send announcement: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("send announcement: status %d: %w", response.StatusCode, errors.ErrUnsupported)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(&reply)
	if err != nil {
		return reply, fmt.Errorf("decode announcement reply: %w", err)
	}
	return reply, nil
}

// announcement returns the current status report of the endpoint.
func (e *Endpoint) announcement() announcer.Announcement {
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

// applyReply updates the state from the reply to an announcement, and reboots an endpoint
// that is in maintenance. It returns the time until the next announcement.
func (e *Endpoint) applyReply(reply announcer.Reply) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldEpoch := e.state.epoch
	e.state = e.state.WithReply(reply)
	if e.state.instanceState == keeper.Maintenance.String() {
		e.reboot()
		return retryInterval
	}
	if e.state.epoch != oldEpoch || reply.State == keeper.Unknown.String() {
		return retryInterval // announce the new epoch, or register, without waiting for the interval
	}
	return time.Duration(reply.IntervalSeconds * float64(time.Second))
}

// reboot closes the server and drops the state, as a restart of the machine does. After
// Faults.Reboot, finishReboot starts the endpoint again. The caller holds e.mu.
func (e *Endpoint) reboot() {
	e.rebooting = true
	e.state = NewState(0, e.cfg.Slots)
	_ = e.server.Close() // interrupts nothing: an endpoint in maintenance runs no attempts
	time.AfterFunc(e.faults.Reboot, e.finishReboot)
}

// finishReboot starts the endpoint with a new incarnation on the same address. It retries
// if that is still in use.
func (e *Endpoint) finishReboot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		time.AfterFunc(retryInterval, e.finishReboot)
		return
	}
	e.rebooting = false
	e.state = NewState(uint64(time.Now().UnixNano()), e.cfg.Slots)
	e.serve(listener)
	e.requestAnnouncement()
}

func (e *Endpoint) isRebooting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rebooting
}

// requestAnnouncement makes the endpoint announce itself without waiting for the interval.
func (e *Endpoint) requestAnnouncement() {
	select {
	case e.announceNow <- struct{}{}:
	default:
	}
}

// authorize reports whether a request has the token, and answers it with status 401 if
// not.
func (e *Endpoint) authorize(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("Authorization") == "Bearer "+e.cfg.Token {
		return true
	}
	http.Error(w, http.StatusText(http.StatusUnauthorized), http.StatusUnauthorized)
	return false
}

// serveRevoke handles the revocation of an attempt.
func (e *Endpoint) serveRevoke(w http.ResponseWriter, r *http.Request) {
	if !e.authorize(w, r) {
		return
	}
	var in forwarder.RevokeRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&in)
	if err != nil || in.Attempt == "" {
		http.Error(w, "malformed revocation", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	var reply forwarder.RevokeReply
	e.state, reply = e.state.Revoke(time.Now(), in.Attempt)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // an entry instance that has disconnected asks again
}

// serveAttempt runs an attempt, or answers with the reason why it has not started.
func (e *Endpoint) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if !e.authorize(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return // the request was incomplete or too large
	}
	call := readCall(r)
	e.mu.Lock()
	var reason messenger.NotStartedReason
	e.state, reason = e.state.Begin(time.Now(), e.cfg.Instance, call)
	inUse := e.state.running
	faults := e.drawFaults()
	e.mu.Unlock()
	w.Header().Set(forwarder.HeaderInUse, strconv.Itoa(inUse))
	if reason != "" {
		w.Header().Set(forwarder.HeaderNotStarted, string(reason))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.cfg.OnStart != nil {
		e.cfg.OnStart(r.Header.Get(forwarder.HeaderCustomer), r.Header.Get(forwarder.HeaderKey), call.Attempt)
	}
	e.run(w, r, call, faults, body)
}

// readCall returns the parameters of an attempt from the header of its request.
func readCall(r *http.Request) Call {
	epoch, _ := strconv.ParseUint(r.Header.Get(forwarder.HeaderEpoch), 10, 64)
	deadline, _ := strconv.ParseInt(r.Header.Get(forwarder.HeaderDeadline), 10, 64)
	return Call{
		Attempt:    r.Header.Get(forwarder.HeaderAttempt),
		Instance:   r.Header.Get(forwarder.HeaderInstance),
		Epoch:      epoch,
		AtMostOnce: r.Header.Get(forwarder.HeaderAtMostOnce) == "1",
		Deadline:   time.UnixMilli(deadline),
	}
}

// attemptFaults are the faults drawn for one attempt.
type attemptFaults struct {
	delay    time.Duration
	fail     bool
	truncate bool
	hang     bool
}

// drawFaults returns random faults with the configured fractions. The caller holds e.mu.
func (e *Endpoint) drawFaults() attemptFaults {
	f := e.faults
	drawn := attemptFaults{
		delay:    f.Delay,
		fail:     e.random.Float64() < f.Fail,
		truncate: e.random.Float64() < f.Truncate,
		hang:     e.random.Float64() < f.Hang,
	}
	if e.random.Float64() < f.Late {
		drawn.delay += f.LateBy
	}
	return drawn
}

// run executes an attempt: it echoes the body after a delay, with the drawn faults. The
// attempt continues if the caller disconnects.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, call Call, faults attemptFaults, body []byte) {
	status := http.StatusOK
	if faults.fail {
		status = http.StatusInternalServerError
	}
	if faults.hang {
		<-r.Context().Done()
	}
	if faults.delay > 0 && !faults.hang {
		<-time.After(faults.delay)
	}
	reply := forwarder.RevokeReply{Status: status, ContentType: r.Header.Get("Content-Type")}
	if len(body) <= maxMessageBytes {
		reply.Body = body
	}
	e.mu.Lock()
	e.state = e.state.End(time.Now(), call.Attempt, reply)
	inUse := e.state.running
	drained := e.state.IsEmpty()
	e.mu.Unlock()
	if drained {
		e.requestAnnouncement()
	}
	h := w.Header()
	h.Set(forwarder.HeaderInUse, strconv.Itoa(inUse))
	h.Set("Content-Type", r.Header.Get("Content-Type"))
	h.Set("Endpoint-Instance", e.cfg.Instance)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if faults.truncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler) // aborts the connection
	}
	_, _ = w.Write(body) // the caller may have disconnected
}
