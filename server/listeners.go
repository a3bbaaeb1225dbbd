package server

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"runtime"
	"time"

	"laburnumwind/acceptor"
	"laburnumwind/announcer"
	"laburnumwind/encoder"
	"laburnumwind/limiter"
	"laburnumwind/loader"
	"laburnumwind/receiver"
)

const (
	readHeaderTimeout  = 10 * time.Second      // maximum time to receive a header, so that a caller can't occupy a connection with an incomplete one
	readTimeout        = time.Minute           // maximum time to receive a whole request, so that a slow caller can't occupy a connection forever
	idleTimeout        = 2 * time.Minute       // time after which an idle connection is closed
	dialTimeout        = time.Second           // maximum time to connect to an endpoint or peer
	closeTimeout       = 2 * time.Second       // maximum time of the graceful shutdown of one listener
	stopPollInterval   = 20 * time.Millisecond // interval at which Stop checks whether requests are in flight
	maxIdleConnections = 64                    // maximum number of idle connections to one endpoint or peer
	minIdle            = 5 * time.Second       // time without progress before which no connection is closed for another
	receiveBuffer      = 64 << 10              // bytes that the system stores for a connection that is not read from
	maxMessageBytes    = 128 << 20             // maximum size of a message of a peer or an operator; a snapshot is the largest

	// Shares of the descriptors; the rest is for connections to endpoints and peers and for files.
	clientsShare = 0.45
	peersShare   = 0.15
)

var dialer = &net.Dialer{Timeout: dialTimeout, KeepAlive: readHeaderTimeout}

// listen opens the listeners for peers, endpoints, operators and callers. The one
// for callers comes last, when the others can already serve.
func (s *Server) listen() error {
	settings := s.cfg.Settings
	serverTLS, peerTLS, err := tlsConfigs(settings.TLS)
	if err != nil {
		return fmt.Errorf("set up TLS: %w", err)
	}
	limits := s.newAcceptor()
	for _, l := range []listenerConfig{
		{settings.Listen.Peers, s.tokens.peers.Guard(encoder.NewPeerServer(s.inbox)), peerTLS, limiter.Peers, maxMessageBytes},
		{settings.Listen.Endpoints, s.tokens.endpoints.Guard(s.endpointRoutes()), serverTLS, limiter.Clients, announcer.MaxAnnouncementBytes},
		{settings.Listen.Operators, s.operatorRoutes(), serverTLS, limiter.Monitors, maxMessageBytes},
		{settings.Listen.Callers, s.callerRoutes(), serverTLS, limiter.Clients, int64(settings.Limits.Body)},
	} {
		err := s.serve(limits, l)
		if err != nil {
			return err
		}
	}
	return nil
}

// newAcceptor returns the acceptor of all listeners.
func (s *Server) newAcceptor() *acceptor.Acceptor {
	limits := s.cfg.Settings.Limits
	return acceptor.NewAcceptor(acceptor.Config{
		Limits: limiter.NewLimits(limiter.Config{
			MemoryMB: int64(limits.MemoryMB), MaxFDs: int64(limits.Descriptors), ClientsShare: clientsShare, PeersShare: peersShare, MinIdle: minIdle,
		}),
		Clock: s.clock, Refuse: receiver.RefuseOverloaded,
		OnRefused: func(reason, client string) {
			s.reporter.Count("limited"+reason, 1)
			if s.reporter.AllowLine("limited") {
				s.cfg.Log.Warn().Str("reason", reason).Str("client", client).Msg("limited")
			}
		},
	})
}

// listenerConfig describes a listener.
type listenerConfig struct {
	address string
	handler http.Handler
	tls     *tls.Config // nil: without TLS
	group   limiter.Group
	maxBody int64 // bytes
}

// serve opens a listener within the limits and serves it on a goroutine of its own.
func (s *Server) serve(limits *acceptor.Acceptor, cfg listenerConfig) error {
	listener, err := net.Listen("tcp", cfg.address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", cfg.address, err)
	}
	httpServer := &http.Server{
		Handler:           cfg.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.cfg.Settings.Limits.Header,
		TLSConfig:         cfg.tls.Clone(), // net/http modifies the config, which several listeners share
		ErrorLog:          log.New(s.cfg.Log, "", 0),
	}
	connections := acceptor.ListenerConfig{Group: cfg.group}
	if cfg.group == limiter.Clients {
		connections.ReceiveBuffer = receiveBuffer
	}
	listener = limits.Listen(listener, connections)
	limits.Protect(httpServer, cfg.maxBody)
	s.servers = append(s.servers, httpServer)
	s.done.Go(func() {
		var err error
		if cfg.tls != nil {
			err = httpServer.ServeTLS(listener, "", "")
		} else {
			err = httpServer.Serve(listener)
		}
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.cfg.OnFailure(fmt.Errorf("serve at %s: %w", cfg.address, err))
		}
	})
	return nil
}

// tlsConfigs returns serverTLS for the listeners of callers, endpoints and operators, and
// peerTLS for both ends of a connection between peers. If PeerCA is set, peerTLS requires
// client certificates; otherwise it is serverTLS. Both are nil if no certificate is
// configured.
func tlsConfigs(settings loader.TLS) (serverTLS, peerTLS *tls.Config, err error) {
	if settings.Certificate == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(settings.Certificate, settings.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificate: %w", err)
	}
	serverTLS = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	if settings.PeerCA == "" {
		return serverTLS, serverTLS, nil
	}
	pool, err := loadCertPool(settings.PeerCA)
	if err != nil {
		return nil, nil, err
	}
	peerTLS = serverTLS.Clone()
	peerTLS.ClientCAs = pool
	peerTLS.RootCAs = pool
	peerTLS.ClientAuth = tls.RequireAndVerifyClientCert
	return serverTLS, peerTLS, nil
}

func loadCertPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate: %w", path, loader.ErrSettings)
	}
	return pool, nil
}

func (s *Server) peerTransport() (http.RoundTripper, error) {
	_, peerTLS, err := tlsConfigs(s.cfg.Settings.TLS)
	if err != nil {
		return nil, err
	}
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DialContext:         dialer.DialContext,
		TLSClientConfig:     peerTLS,
	}, nil
}

// callerRoutes returns the services and the health checks. Health checks need no token.
func (s *Server) callerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(receiver.PathServices, s.receiver)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if s.receiver.IsReady() {
			writeText(w, http.StatusOK, "ready\n")
			return
		}
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
	})
	return mux
}

func (s *Server) endpointRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(announcer.PathAnnounce, s.announcer)
	return mux
}

// operatorRoutes returns the operators' API, the metrics and the status page. All of
// them require an operators' token.
func (s *Server) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(encoder.OperatorPathPrefix, encoder.NewOperatorServer(s.operator))
	mux.HandleFunc("/metrics", s.serveMetrics)
	mux.HandleFunc("/status", s.serveStatus)
	return s.tokens.operators.Guard(mux)
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s.reporter.Count("invariantViolations", 0) // creates the counter, so that it is listed before the first violation
	s.reporter.Gauge("inFlight", s.receiver.InFlight())
	s.reporter.Gauge("heapBytes", int64(mem.HeapAlloc))
	s.reporter.Gauge("systemBytes", int64(mem.Sys))
	s.reporter.Gauge("goroutines", int64(runtime.NumGoroutine()))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.reporter.WriteMetrics(w) // fails only if the collector has disconnected
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.operator.Get(r.Context(), &encoder.GetRequest{})
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error()+"\n")
		return
	}
	text := fmt.Sprintf("instance %s in zone %s\nleader %s, fresh %t\nrevision %d\nin flight %d\ninvariant violations %d\n",
		status.GetName(), status.GetZone(), status.GetLeader(), status.GetFresh(), status.GetRevision(),
		s.receiver.InFlight(), s.reporter.Counter("invariantViolations"))
	for _, i := range status.GetInstances() {
		text += fmt.Sprintf("%s %s %s epoch %d\n", i.GetName(), i.GetPlaceName(), i.GetPool(), i.GetEpoch())
	}
	writeText(w, http.StatusOK, text)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // fails only if the client has disconnected
}
