// Package server runs an entry instance: it joins the stages of a node to their
// threads, listeners and files.
package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"laburnumwind/admitter"
	"laburnumwind/announcer"
	"laburnumwind/assembler"
	"laburnumwind/authenticator"
	"laburnumwind/claimer"
	"laburnumwind/courier"
	"laburnumwind/forwarder"
	"laburnumwind/loader"
	"laburnumwind/messenger"
	"laburnumwind/operator"
	"laburnumwind/parser"
	"laburnumwind/placer"
	"laburnumwind/planner"
	"laburnumwind/receiver"
	"laburnumwind/replicator"
	"laburnumwind/reporter"
	"laburnumwind/runner"
	"laburnumwind/tracker"
)

// Names of the groups' files.
const (
	groupDeclarations = "declarations"
	groupClaims       = "claims"
)

// controlPerRequest is how many control messages one request can have under way.
const controlPerRequest = 4

// leastControl is the least capacity of a control ring, in messages.
const leastControl = 4096

// Config describes an entry instance.
type Config struct {
	Settings loader.Settings
	Log      zerolog.Logger
	Cut      func(peer string) bool // for tests: peers that are cut off
	Failed   func(error)            // is told when the instance can no longer run
}

// Server is a running entry instance.
type Server struct {
	cfg       Config
	clock     func() time.Time
	run       string // name of this run of the instance
	reporter  *reporter.Reporter
	courier   *courier.Courier
	inbox     *courier.Inbox
	forwarder *forwarder.Forwarder
	receiver  *receiver.Receiver
	announcer *announcer.Announcer
	operator  *operator.Operator
	line      *runner.Line
	started   chan struct{} // closed once line is there
	disks     disks
	servers   []*http.Server
	tokens    tokens
	done      sync.WaitGroup
}

type tokens struct {
	endpoints *authenticator.Authenticator
	operators *authenticator.Authenticator
	peers     *authenticator.Authenticator
}

// steadyClock is a clock that never jumps: the time of its start and what passed since.
func steadyClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Since(start)) }
}

// NewServer starts an entry instance.
func NewServer(cfg Config) (*Server, error) {
	s := &Server{
		cfg:      cfg,
		clock:    steadyClock(),
		started:  make(chan struct{}),
		run:      fmt.Sprintf("%s-%x", cfg.Settings.Name, rand.Uint64()),
		reporter: reporter.NewReporter(reporter.Config{Log: cfg.Log, Every: cfg.Settings.Log.Every}),
	}
	err := s.loadTokens()
	if err != nil {
		return nil, fmt.Errorf("load tokens: %w", err)
	}
	err = s.disks.open(cfg.Settings)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	transport, err := s.peerTransport()
	if err != nil {
		return nil, fmt.Errorf("set up TLS: %w", err)
	}
	s.makeEdges(transport)
	s.startLine()
	err = s.listen()
	if err != nil {
		s.Kill()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

func (s *Server) loadTokens() error {
	var err error
	t := s.cfg.Settings.Tokens
	for _, f := range []struct {
		path string
		into **authenticator.Authenticator
	}{{t.Endpoints, &s.tokens.endpoints}, {t.Operators, &s.tokens.operators}, {t.Peers, &s.tokens.peers}} {
		*f.into, err = authenticator.NewAuthenticator(f.path, s.clock)
		if err != nil {
			return err
		}
	}
	return nil
}

// endpointTransport keeps connections to endpoints open.
func endpointTransport(connections int) *http.Transport {
	return &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
		DialContext:         dialer.DialContext,
	}
}

func (s *Server) makeEdges(transport http.RoundTripper) {
	s.makeCourier(transport)
	s.makeForwarder()
	s.makeReceiver()
	set := s.cfg.Settings
	s.announcer = announcer.NewAnnouncer(announcer.Config{
		Send:          func(a messenger.Announcement) bool { return s.stages().TrySend(messenger.Tracker, a) },
		LeastInterval: set.Timing.Announce,
	})
	s.operator = operator.NewOperator(operator.Config{
		Name:    set.Name,
		Zone:    set.Zone,
		Ticket:  rand.Uint64() >> 1,
		Clock:   s.clock,
		Propose: func(p messenger.Propose) { s.stages().Send(messenger.Declarations, p) },
		Explain: s.reporter.Explain,
	})
}

func (s *Server) makeCourier(transport http.RoundTripper) {
	replies := courier.NewReplies()
	s.inbox = &courier.Inbox{
		Put:     func(to messenger.Stage, body any) bool { return s.stages().TrySend(to, body) },
		Cut:     s.cfg.Cut,
		Replies: replies,
	}
	s.courier = courier.NewCourier(courier.Config{
		Name:    s.cfg.Settings.Name,
		Peers:   s.peers(),
		Client:  &http.Client{Transport: authenticator.Bearer{Token: s.tokens.peers.First(), Next: transport}},
		Dropped: func(string) { s.reporter.Count("peerMessagesDropped", 1) },
		Sent: func(_ string, n, bytes int) {
			s.reporter.Count("peerMessagesSent", int64(n))
			s.reporter.Count("peerBytesSent", int64(bytes))
		},
		Cut:     s.cfg.Cut,
		Replies: replies,
		Take:    s.inbox.TakeAll,
	})
}

func (s *Server) makeForwarder() {
	set := s.cfg.Settings
	s.forwarder = forwarder.NewForwarder(forwarder.Config{
		Entry:     s.run,
		Senders:   set.Limits.Senders,
		Ring:      set.Limits.InFlight,
		MaxAnswer: int64(set.Limits.Answer),
		Client: &http.Client{
			Transport:     endpointTransport(endpointConnections),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		Clock:   s.clock,
		Token:   s.tokens.endpoints.First(),
		Done:    func(x messenger.Exchange) { s.stages().Send(messenger.Answerer, x) },
		Revoked: func(r messenger.Revoked) { s.stages().Send(messenger.Claimer, r) },
	})
}

func (s *Server) makeReceiver() {
	set := s.cfg.Settings
	s.receiver = receiver.NewReceiver(receiver.Config{
		Parser:      parser.Config{DefaultWait: set.Timing.DefaultWait, MaxWait: set.Timing.MaxWait},
		MaxBody:     int64(set.Limits.Body),
		MaxInFlight: int64(set.Limits.InFlight),
		Clock:       s.clock,
		Offer: func(r messenger.Request) bool {
			return s.stages().Offer(messenger.Admitter, messenger.Arrive{Request: r})
		},
		Send:     s.send,
		Answered: s.answered,
	})
}

// stages is the line of stages. An edge may have something for it before it is there.
func (s *Server) stages() *runner.Line {
	<-s.started
	return s.line
}

func (s *Server) send(to messenger.Stage, body any) {
	cancel, ok := body.(messenger.Cancel)
	if ok && to == messenger.Forwarder {
		s.forwarder.Cancel(cancel.ID)
		return
	}
	s.stages().Send(to, body)
}

func (s *Server) answered(r messenger.Request, a messenger.Answer, took time.Duration) {
	s.reporter.Count("requests"+a.Outcome.String(), 1)
	s.reporter.Time("request", took)
	if a.Reason != messenger.NoReason {
		s.reporter.Count("reason"+string(a.Reason), 1)
	}
	s.cfg.Log.Debug().Uint64("request", r.ID).Str("outcome", a.Outcome.String()).Dur("took", took).Msg("answered")
}

func (s *Server) peers() []courier.Peer {
	var out []courier.Peer
	scheme := "http://"
	if s.cfg.Settings.TLS.Certificate != "" {
		scheme = "https://"
	}
	for _, p := range s.cfg.Settings.Peers {
		if p.Name != s.cfg.Settings.Name {
			out = append(out, courier.Peer{Name: p.Name, URL: scheme + p.Address})
		}
	}
	return out
}

func (s *Server) startLine() {
	set := s.cfg.Settings
	now := s.clock()
	node := assembler.NewNode(now, s.nodeConfig(), s.disks.declarations, s.disks.claims)
	edges := map[messenger.Stage]func(any){
		messenger.Receiver:  s.receiver.Take,
		messenger.Forwarder: s.forwarder.Put,
		messenger.Courier:   s.courier.Send,
		messenger.Announcer: s.announcer.Take,
		messenger.Reporter:  s.reporter.Take,
		messenger.Operator:  s.operator.Take,
		messenger.Recorder:  s.disks.put,
	}
	s.disks.start(diskEdges{
		declarations: func(m assembler.DeclarationsMessage) { s.courier.Send(m) },
		claims:       func(m assembler.ClaimsMessage) { s.courier.Send(m) },
		persisted:    func(to messenger.Stage, p replicator.Persisted) { s.stages().Send(to, p) },
		synced: func(group string, n int, took time.Duration) {
			s.reporter.Count(group+"Syncs", 1)
			s.reporter.Count(group+"Writes", int64(n))
			s.reporter.Time(group+"Sync", took)
		},
		full:   s.reporter.DiskFull,
		failed: s.cfg.Failed,
	})
	s.line = runner.NewLine(runner.LineConfig{
		Node:     node,
		Edges:    edges,
		Clock:    s.clock,
		Requests: set.Limits.InFlight,
		Control:  max(set.Limits.InFlight*controlPerRequest, leastControl),
		Dropped:  func(messenger.Stage) { s.reporter.Count("ringsFull", 1) },
	})
	close(s.started)
}

func (s *Server) nodeConfig() assembler.Config {
	set := s.cfg.Settings
	seed := rand.Uint64()
	return assembler.Config{
		Admitter:     admitter.Config{Name: set.Name, MaxQueue: set.Limits.Queue},
		Placer:       placer.Config{Zone: set.Zone, Seed: seed},
		Claimer:      claimer.Config{Entry: s.run},
		Tracker:      tracker.Config{Name: set.Name, LeastInterval: set.Timing.Announce},
		Planner:      planner.Config{LostAfter: set.Timing.LostAfter, RebootLimit: set.Timing.Reboot},
		Declarations: declarationsConfig(set, s.disks.identity, seed),
		Claims:       claimsConfig(set, s.disks.identity, seed),
		Ticket:       rand.Uint64() >> 1,
		Violated: func(err error) {
			s.reporter.Count("invariantViolations", 1)
			s.cfg.Log.Error().Err(err).Msg("invariant violated")
		},
	}
}

func declarationsConfig(set loader.Settings, disk string, seed uint64) assembler.DeclarationsConfig {
	return assembler.DeclarationsConfig{
		Name:    set.Name,
		Disk:    disk,
		Durable: set.DataFolder != "",
		Peers:   replicationPeers(set, true),
		Seed:    seed,
	}
}

func claimsConfig(set loader.Settings, disk string, seed uint64) assembler.ClaimsConfig {
	return assembler.ClaimsConfig{
		Name:    set.Name,
		Disk:    disk,
		Durable: set.DataFolder != "",
		Passive: !set.IsVoter(),
		Peers:   replicationPeers(set, false),
		Seed:    seed + 1,
	}
}

func replicationPeers(set loader.Settings, hears bool) []replicator.Peer {
	var out []replicator.Peer
	for _, p := range set.Peers {
		if p.Name != set.Name {
			out = append(out, replicator.Peer{Name: p.Name, Voter: p.Voter, Hears: hears})
		}
	}
	return out
}

// Counter is the present value of a counter.
func (s *Server) Counter(name string) int64 { return s.reporter.Counter(name) }

// Stop refuses new requests, lets those in progress end within the time that
// the settings give, and closes. It returns what was still in progress.
func (s *Server) Stop() int64 {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Settings.Timing.Stop)
	defer cancel()
	s.receiver.Leave()
	s.stages().Send(messenger.Declarations, messenger.Resign{})
	s.stages().Send(messenger.Claims, messenger.Resign{})
	leave := time.NewTimer(s.cfg.Settings.Timing.Leave)
	defer leave.Stop()
	select {
	case <-leave.C:
	case <-ctx.Done():
	}
	s.receiver.Stop()
	s.cfg.Log.Info().Int64("inFlight", s.receiver.InFlight()).Msg("stopping")
	tick := time.NewTicker(stopPoll)
	defer tick.Stop()
	for s.receiver.InFlight() > 0 && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	left := s.receiver.InFlight()
	for _, server := range s.servers {
		short, stop := context.WithTimeout(ctx, closeTimeout)
		_ = server.Shutdown(short) // what is left is closed below
		stop()
	}
	s.close(ctx)
	if left > 0 {
		s.cfg.Log.Warn().Int64("inFlight", left).Msg("stopped with requests in progress")
	}
	return left
}

// Kill closes at once.
func (s *Server) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.close(ctx)
}

func (s *Server) close(ctx context.Context) {
	for _, server := range slices.Backward(s.servers) {
		_ = server.Close()
	}
	s.forwarder.Stop(ctx)
	s.line.Stop()
	s.courier.Stop()
	s.disks.stop()
	s.reporter.Stop()
	s.done.Wait()
}
