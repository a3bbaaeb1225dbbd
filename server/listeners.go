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

	"laburnumwind/announcer"
	"laburnumwind/encoder"
	"laburnumwind/loader"
	"laburnumwind/receiver"
)

const (
	readHeaderTimeout   = 10 * time.Second
	readTimeout         = time.Minute // of a whole request, so that a slow caller ties nothing up for ever
	idleTimeout         = 2 * time.Minute
	dialTimeout         = time.Second
	closeTimeout        = 2 * time.Second
	stopPoll            = 20 * time.Millisecond
	endpointConnections = 64 // idle connections to one endpoint
)

var dialer = &net.Dialer{Timeout: dialTimeout, KeepAlive: readHeaderTimeout}

// listen opens the four listeners.
func (s *Server) listen() error {
	set := s.cfg.Settings
	server, mutual, err := tlsConfigs(set.TLS)
	if err != nil {
		return fmt.Errorf("set up TLS: %w", err)
	}
	for _, l := range []struct {
		address string
		handler http.Handler
		tls     *tls.Config
	}{
		{set.Listen.Peers, s.tokens.peers.Guard(encoder.NewPeerServer(s.inbox)), mutual},
		{set.Listen.Endpoints, s.tokens.endpoints.Guard(s.endpointRoutes()), server},
		{set.Listen.Operators, s.operatorRoutes(), server},
		{set.Listen.Callers, s.callerRoutes(), server},
	} {
		err := s.serve(l.address, l.handler, l.tls)
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) serve(address string, handler http.Handler, config *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.cfg.Settings.Limits.Header,
		TLSConfig:         config.Clone(), // net/http changes it
		ErrorLog:          log.New(s.cfg.Log, "", 0),
	}
	s.servers = append(s.servers, server)
	s.done.Go(func() {
		var err error
		if config != nil {
			err = server.ServeTLS(listener, "", "")
		} else {
			err = server.Serve(listener)
		}
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.cfg.Failed(fmt.Errorf("serve at %s: %w", address, err))
		}
	})
	return nil
}

func tlsConfigs(set loader.TLS) (server, mutual *tls.Config, err error) {
	if set.Certificate == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(set.Certificate, set.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificate: %w", err)
	}
	server = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	if set.PeerCA == "" {
		return server, server, nil
	}
	pool, err := certificates(set.PeerCA)
	if err != nil {
		return nil, nil, err
	}
	mutual = server.Clone()
	mutual.ClientCAs = pool
	mutual.RootCAs = pool
	mutual.ClientAuth = tls.RequireAndVerifyClientCert
	return server, mutual, nil
}

func certificates(path string) (*x509.CertPool, error) {
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
	_, mutual, err := tlsConfigs(s.cfg.Settings.TLS)
	if err != nil {
		return nil, err
	}
	return &http.Transport{
		MaxIdleConnsPerHost: endpointConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DialContext:         dialer.DialContext,
		TLSClientConfig:     mutual,
	}, nil
}

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

func (s *Server) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(encoder.OperatorPathPrefix, encoder.NewOperatorServer(s.operator))
	mux.HandleFunc("/metrics", s.serveMetrics)
	mux.HandleFunc("/status", s.serveStatus)
	return s.tokens.operators.Guard(mux)
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.reporter.Count("invariantViolations", 0)
	s.reporter.Gauge("inFlight", s.receiver.InFlight())
	s.reporter.Gauge("heapBytes", int64(m.HeapAlloc))
	s.reporter.Gauge("systemBytes", int64(m.Sys))
	s.reporter.Gauge("goroutines", int64(runtime.NumGoroutine()))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = s.reporter.WriteMetrics(w) // a collector that is gone gets nothing
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
	_, _ = w.Write([]byte(text)) // a reader that is gone gets nothing
}
