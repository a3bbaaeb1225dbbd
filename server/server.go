// Package server runs an entry instance: it starts the stages of a node on their threads
// and connects them to the listeners and to the data folder.
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
	"laburnumwind/connector"
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

// Names of the replication groups, as used in file and metric names.
const (
	groupDeclarations = "declarations"
	groupClaims       = "claims"
)

// controlMessagesPerRequest is the maximum number of control messages that one
// request can have in flight. Each control ring has room for this many messages
// of every request in flight, so that stages normally don't block.
const controlMessagesPerRequest = 4

// minControlCapacity is the minimum capacity of a control ring, in messages. Control
// rings also carry messages that no request causes, such as those of peers.
const minControlCapacity = 4096

// Config describes an entry instance.
type Config struct {
	Settings      loader.Settings
	Log           zerolog.Logger
	IsPartitioned func(peer string) bool // for tests: reports whether the network to a peer is partitioned
	OnFailure     func(error)            // called when the instance can no longer run; several goroutines may call it
}

// Server is a running entry instance.
type Server struct {
	cfg       Config
	clock     func() time.Time
	runID     string // name of the instance with a random suffix, different in each process run
	reporter  *reporter.Reporter
	courier   *courier.Courier
	inbox     *courier.Inbox
	forwarder *forwarder.Forwarder
	receiver  *receiver.Receiver
	announcer *announcer.Announcer
	operator  *operator.Operator
	pipeline  *runner.Pipeline
	started   chan struct{} // closed once pipeline is set
	storage   storage
	servers   []*http.Server
	tokens    tokens
	done      sync.WaitGroup
}

// tokens are the authenticators of the listeners, except the one for callers: their tokens
// are checked against the declared customers.
type tokens struct {
	endpoints *authenticator.Authenticator
	operators *authenticator.Authenticator
	peers     *authenticator.Authenticator
}

// NewServer creates and starts an entry instance. It returns an error if a token,
// the data folder, a certificate or a listener can't be opened.
func NewServer(cfg Config) (*Server, error) {
	s := &Server{
		cfg:      cfg,
		clock:    connector.BootClock(),
		started:  make(chan struct{}),
		runID:    fmt.Sprintf("%s-%x", cfg.Settings.Name, rand.Uint64()),
		reporter: reporter.NewReporter(reporter.Config{Log: cfg.Log, SampleEvery: cfg.Settings.Log.SampleEvery}),
	}
	err := s.loadTokens()
	if err != nil {
		return nil, fmt.Errorf("load tokens: %w", err)
	}
	err = s.storage.open(cfg.Settings)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	transport, err := s.peerTransport()
	if err != nil {
		return nil, fmt.Errorf("set up TLS: %w", err)
	}
	s.makeIOStages(transport)
	s.startPipeline()
	err = s.listen()
	if err != nil {
		s.Kill()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

func (s *Server) loadTokens() error {
	var err error
	paths := s.cfg.Settings.Tokens
	for _, file := range []struct {
		path   string
		target **authenticator.Authenticator
	}{{paths.Endpoints, &s.tokens.endpoints}, {paths.Operators, &s.tokens.operators}, {paths.Peers, &s.tokens.peers}} {
		*file.target, err = authenticator.NewAuthenticator(file.path, s.clock)
		if err != nil {
			return err
		}
	}
	return nil
}

// endpointTransport returns a transport that keeps up to the given number of idle
// connections to each endpoint open for reuse.
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

func (s *Server) makeIOStages(transport http.RoundTripper) {
	s.makeCourier(transport)
	s.makeForwarder()
	s.makeReceiver()
	settings := s.cfg.Settings
	s.announcer = announcer.NewAnnouncer(announcer.Config{
		Send:        func(a messenger.Announcement) bool { return s.stages().TrySend(messenger.Tracker, a) },
		MinInterval: settings.Timing.Announce,
	})
	s.operator = operator.NewOperator(operator.Config{
		Name:           settings.Name,
		Zone:           settings.Zone,
		LastProposalID: rand.Uint64() >> 1, // random, so that IDs differ from those of the planner and of earlier runs; the shift leaves room to count up
		Clock:          s.clock,
		Propose:        func(p messenger.ProposeDeclarations) { s.stages().Send(messenger.Declarations, p) },
		Explain:        s.reporter.Explain,
	})
}

func (s *Server) makeCourier(transport http.RoundTripper) {
	replies := courier.NewReplies()
	s.inbox = &courier.Inbox{
		Put:           func(to messenger.Stage, body any) bool { return s.stages().TrySend(to, body) },
		IsPartitioned: s.cfg.IsPartitioned,
		Replies:       replies,
	}
	s.courier = courier.NewCourier(courier.Config{
		Name:      s.cfg.Settings.Name,
		Peers:     s.peers(),
		Client:    &http.Client{Transport: authenticator.BearerTransport{Token: s.tokens.peers.FirstToken(), Next: transport}},
		OnDropped: func(string) { s.reporter.Count("peerMessagesDropped", 1) },
		OnSent: func(_ string, n, bytes int) {
			s.reporter.Count("peerMessagesSent", int64(n))
			s.reporter.Count("peerBytesSent", int64(bytes))
		},
		IsPartitioned: s.cfg.IsPartitioned,
		Replies:       replies,
		Receive:       s.inbox.ReceiveAll,
	})
}

func (s *Server) makeForwarder() {
	settings := s.cfg.Settings
	s.forwarder = forwarder.NewForwarder(forwarder.Config{
		Entry:         s.runID,
		Senders:       settings.Limits.Senders,
		QueueCapacity: settings.Limits.InFlight,
		MaxAnswer:     int64(settings.Limits.Answer),
		Client: &http.Client{
			Transport:     endpointTransport(maxIdleConnections),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // the caller gets the redirect
		},
		Clock:     s.clock,
		Token:     s.tokens.endpoints.FirstToken(),
		OnDone:    func(x messenger.AttemptResult) { s.stages().Send(messenger.Answerer, x) },
		OnRevoked: func(r messenger.RevokeResult) { s.stages().Send(messenger.Claimer, r) },
	})
}

func (s *Server) makeReceiver() {
	settings := s.cfg.Settings
	s.receiver = receiver.NewReceiver(receiver.Config{
		Parser:      parser.Config{DefaultTimeout: settings.Timing.DefaultWait, MaxTimeout: settings.Timing.MaxWait},
		MaxBody:     int64(settings.Limits.Body),
		MaxInFlight: int64(settings.Limits.InFlight),
		Clock:       s.clock,
		Enqueue: func(r messenger.Request) bool {
			return s.stages().Offer(messenger.Admitter, messenger.RequestArrived{Request: r})
		},
		Send:     s.send,
		OnAnswer: s.recordAnswer,
	})
}

// stages returns the pipeline and waits until it is set, because an I/O stage may
// have a message for it before that.
func (s *Server) stages() *runner.Pipeline {
	<-s.started
	return s.pipeline
}

// send passes a message of the receiver to a stage. A cancellation for the forwarder
// doesn't go through its queue, where it would wait for a free sender.
func (s *Server) send(to messenger.Stage, body any) {
	cancel, ok := body.(messenger.CallerDisconnected)
	if ok && to == messenger.Forwarder {
		s.forwarder.Cancel(cancel.ID)
		return
	}
	s.stages().Send(to, body)
}

// recordAnswer counts and logs the answer to a request.
func (s *Server) recordAnswer(r messenger.Request, a messenger.Answer, elapsed time.Duration) {
	s.reporter.Count("requests"+a.Outcome.String(), 1)
	s.reporter.Time("request", elapsed)
	if a.Reason != messenger.NoReason {
		s.reporter.Count("reason"+string(a.Reason), 1)
	}
	s.cfg.Log.Debug().Uint64("request", r.ID).Str("outcome", a.Outcome.String()).Dur("took", elapsed).Msg("answered")
}

// peers returns the other instances and the URLs of their peers' listeners.
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

func (s *Server) startPipeline() {
	settings := s.cfg.Settings
	now := s.clock()
	node := assembler.NewNode(now, s.nodeConfig(), s.storage.declarations, s.storage.claims)
	ioStages := map[messenger.Stage]func(any){
		messenger.Receiver:  s.receiver.Handle,
		messenger.Forwarder: s.forwarder.Put,
		messenger.Courier:   s.courier.Send,
		messenger.Announcer: s.announcer.Handle,
		messenger.Reporter:  s.reporter.Handle,
		messenger.Operator:  s.operator.Handle,
		messenger.Recorder:  s.storage.put,
	}
	s.storage.start(storageCallbacks{
		sendDeclarations: func(m assembler.DeclarationsMessage) { s.courier.Send(m) },
		sendClaims:       func(m assembler.ClaimsMessage) { s.courier.Send(m) },
		onPersisted:      func(to messenger.Stage, p replicator.Persisted) { s.stages().Send(to, p) },
		onSync: func(group string, n int, elapsed time.Duration) {
			s.reporter.Count(group+"Syncs", 1)
			s.reporter.Count(group+"Writes", int64(n))
			s.reporter.Time(group+"Sync", elapsed)
		},
		onDiskError: s.reporter.DiskError,
		onFailure:   s.cfg.OnFailure,
	})
	s.pipeline = runner.NewPipeline(runner.PipelineConfig{
		Node:            node,
		IOStages:        ioStages,
		Clock:           s.clock,
		RequestCapacity: settings.Limits.InFlight,
		ControlCapacity: max(settings.Limits.InFlight*controlMessagesPerRequest, minControlCapacity),
		OnRingFull:      func(messenger.Stage) { s.reporter.Count("ringsFull", 1) },
		OnPanic:         s.reportPanic,
		OnFailure:       s.cfg.OnFailure,
	})
	close(s.started)
}

// reportPanic logs and counts a panic of a stage.
func (s *Server) reportPanic(stage messenger.Stage, err error) {
	s.reporter.Count("panics", 1)
	s.cfg.Log.Error().Err(err).Int("stage", int(stage)).Msg("stage panicked")
}

func (s *Server) nodeConfig() assembler.Config {
	settings := s.cfg.Settings
	seed := rand.Uint64()
	return assembler.Config{
		Admitter:       admitter.Config{Name: settings.Name, MaxQueue: settings.Limits.Queue},
		Placer:         placer.Config{Zone: settings.Zone, Seed: seed},
		Claimer:        claimer.Config{Entry: s.runID},
		Tracker:        tracker.Config{Name: settings.Name, MinInterval: settings.Timing.Announce},
		Planner:        planner.Config{LostAfter: settings.Timing.LostAfter, MaintenanceTimeout: settings.Timing.Reboot},
		Declarations:   declarationsConfig(settings, s.storage.diskID, seed),
		Claims:         claimsConfig(settings, s.storage.diskID, seed),
		LastProposalID: rand.Uint64() >> 1, // random, so that IDs differ from those of earlier runs; the shift leaves room to count up
		OnViolation: func(err error) {
			s.reporter.Count("invariantViolations", 1)
			s.cfg.Log.Error().Err(err).Msg("invariant violated")
		},
	}
}

func declarationsConfig(settings loader.Settings, disk string, seed uint64) assembler.DeclarationsConfig {
	return assembler.DeclarationsConfig{
		Name:    settings.Name,
		DiskID:  disk,
		Durable: settings.DataFolder != "",
		Peers:   replicationPeers(settings, true),
		Seed:    seed,
	}
}

func claimsConfig(settings loader.Settings, disk string, seed uint64) assembler.ClaimsConfig {
	return assembler.ClaimsConfig{
		Name:        settings.Name,
		DiskID:      disk,
		Durable:     settings.DataFolder != "",
		ProposeOnly: !settings.IsVoter(),
		Peers:       replicationPeers(settings, false),
		Seed:        seed + 1,
	}
}

// replicationPeers returns the other instances as members of a replication group. If
// learners is true, those that aren't voters receive the log too.
func replicationPeers(settings loader.Settings, learners bool) []replicator.Peer {
	var out []replicator.Peer
	for _, p := range settings.Peers {
		if p.Name != settings.Name {
			out = append(out, replicator.Peer{Name: p.Name, CanVote: p.Voter, Learner: learners})
		}
	}
	return out
}

// Counter returns the current value of a counter.
func (s *Server) Counter(name string) int64 { return s.reporter.Counter(name) }

// Stop shuts the instance down gracefully: it reports that it is not ready, resigns
// leadership, so that keyed requests don't wait for an election timeout, refuses new
// requests after Timing.Leave, waits for the requests in flight, and closes. All of
// this takes at most about Timing.Stop. It returns the number of requests that were
// still in flight.
func (s *Server) Stop() int64 {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Settings.Timing.Stop)
	defer cancel()
	s.receiver.Leave()
	s.stages().Send(messenger.Declarations, messenger.Resign{})
	s.stages().Send(messenger.Claims, messenger.Resign{})
	leaveTimer := time.NewTimer(s.cfg.Settings.Timing.Leave)
	defer leaveTimer.Stop()
	select {
	case <-leaveTimer.C:
	case <-ctx.Done():
	}
	s.receiver.Stop()
	s.cfg.Log.Info().Int64("inFlight", s.receiver.InFlight()).Msg("stopping")
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for s.receiver.InFlight() > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	remaining := s.receiver.InFlight()
	for _, httpServer := range s.servers {
		shutdownCtx, cancelShutdown := context.WithTimeout(ctx, closeTimeout)
		_ = httpServer.Shutdown(shutdownCtx) // close ends the remaining connections
		cancelShutdown()
	}
	s.close(ctx)
	if remaining > 0 {
		s.cfg.Log.Warn().Int64("inFlight", remaining).Msg("stopped with requests in progress")
	}
	return remaining
}

// Kill closes the instance at once, without waiting for the requests in flight.
func (s *Server) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.close(ctx)
}

// close closes the listeners, stops all goroutines and closes the data folder. Attempts
// in progress are aborted when ctx is done.
func (s *Server) close(ctx context.Context) {
	for _, httpServer := range slices.Backward(s.servers) {
		_ = httpServer.Close()
	}
	s.forwarder.Stop(ctx)
	s.pipeline.Stop()
	s.courier.Stop()
	s.storage.stop()
	s.reporter.Stop()
	s.done.Wait()
}
