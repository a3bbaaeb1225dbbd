// Package controller runs a node of the jobs group: it joins its stages to their
// threads, its disk, its peers and the edges that the caller hands in.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"laburnumwind/assembler"
	"laburnumwind/connector"
	"laburnumwind/courier"
	"laburnumwind/delegator"
	"laburnumwind/dispatcher"
	"laburnumwind/encoder"
	"laburnumwind/messenger"
	"laburnumwind/recorder"
	"laburnumwind/registrar"
	"laburnumwind/replicator"
	"laburnumwind/reporter"
	"laburnumwind/responder"
	"laburnumwind/runner"
	"laburnumwind/scheduler"
)

const (
	groupJobs = "jobs"

	electionTime = 500 * time.Millisecond // a sixth of the time in which a new leader has to act
	heartbeat    = 100 * time.Millisecond
	clockDrift   = 50 * time.Millisecond // between two instances in one election time
	compactAfter = 600                   // entries, about ten seconds of a busy log
	applyAtOnce  = 64                    // entries in one step, some tens of milliseconds on a small machine
	keepEntries  = 256

	peerTimeout = 700 * time.Millisecond
	peerDial    = 400 * time.Millisecond
	peerSilence = time.Second
	peerIdle    = 30 * time.Second

	requestRing = 1024 // calls that may wait for the scheduler
	controlRing = 16384

	resignTime = time.Second // for a planned stop of the leader

	headerTimeout = 5 * time.Second
)

// Config describes a node of the jobs group.
type Config struct {
	Name       string   // address of its peer listener, by which peers know it
	DataFolder string   // of its disk
	Seeds      []string // names of other nodes, to begin with
	Founders   []string // voters of a new group; none: the group exists, or others found it
	Voters     int      // voters wanted
	Clock      func() time.Time
	Log        zerolog.Logger
	Reporter   *reporter.Reporter
	Scheduler  scheduler.Config
	Dispatcher dispatcher.Config // its calls; the rest is filled in
	Lead       func(leads bool)  // is told when this node begins or ceases to lead
	Failed     func(error)       // is told when the node can no longer run
}

// Controller is a running node of the jobs group.
type Controller struct {
	cfg        Config
	line       *runner.Line
	started    chan struct{} // closed once line is there
	courier    *courier.Courier
	inbox      *courier.Inbox
	dispatcher *dispatcher.Dispatcher
	delegator  *delegator.Delegator
	responder  *responder.Responder
	store      *recorder.Store[registrar.Command, registrar.State, registrar.Result]
	recorder   *recorder.Recorder[registrar.Command, registrar.State, registrar.Result]
	identity   string
	disk       assembler.JobsDisk
	server     *http.Server
	done       sync.WaitGroup
}

// NewController starts a node.
func NewController(cfg Config) (*Controller, error) {
	c := &Controller{cfg: cfg, started: make(chan struct{})}
	err := c.openDisk()
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	c.makeEdges()
	c.startLine()
	err = c.listen()
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return c, nil
}

// openDisk opens the log. An empty disk of a founder gets the first identity; any
// other empty disk gets a new one, so that it never votes for what was lost.
func (c *Controller) openDisk() error {
	identity, err := recorder.Identity(c.cfg.DataFolder)
	if err != nil {
		return fmt.Errorf("read identity: %w", err)
	}
	initial := assembler.JobsDisk{Snapshot: replicator.Snapshot[registrar.State]{Machine: registrar.NewState()}}
	founds := false
	var members []replicator.Member
	for _, name := range c.cfg.Founders {
		founds = founds || name == c.cfg.Name
		members = append(members, replicator.Member{Name: name, Disk: recorder.FirstDisk(name)})
	}
	c.identity = identity
	if identity == "" && founds {
		c.identity = recorder.FirstDisk(c.cfg.Name)
		initial = replicator.Bootstrap[registrar.Command](members, registrar.NewState())
	}
	if c.identity == "" {
		c.identity = recorder.NewDisk(c.cfg.Name)
	}
	c.store, c.disk, err = recorder.OpenStore(c.cfg.DataFolder, groupJobs, encoder.JobsCodec(), initial, identity != "")
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	c.cfg.Log.Info().Str("disk", c.identity).Bool("founds", founds && identity == "").Uint64("term", c.disk.Term).Int("entries", len(c.disk.Entries)).Msg("disk opened")
	if identity == "" {
		return recorder.WriteIdentity(c.cfg.DataFolder, c.identity)
	}
	return nil
}

func (c *Controller) makeEdges() {
	peers := &http.Client{Transport: connector.NewTransport(connector.Config{
		Dial: peerDial, Silence: peerSilence, Idle: peerIdle, PerHost: 4,
	})}
	url := func(peer string) string { return "http://" + peer }
	replies := courier.NewReplies()
	c.inbox = &courier.Inbox{
		Put:     func(to messenger.Stage, body any) bool { return c.stages().TrySend(to, body) },
		Replies: replies,
	}
	c.courier = courier.NewCourier(courier.Config{
		Name:    c.cfg.Name,
		Client:  peers,
		Dropped: func(string) { c.cfg.Reporter.Count("peerMessagesDropped", 1) },
		Sent: func(_ string, n, bytes int) {
			c.cfg.Reporter.Count("peerMessagesSent", int64(n))
			c.cfg.Reporter.Count("peerBytesSent", int64(bytes))
		},
		Replies: replies,
		Take:    c.inbox.TakeAll,
		URL:     url,
		Timeout: peerTimeout,
	})
	c.delegator = delegator.NewDelegator(delegator.Config{
		Name: c.cfg.Name, Client: peers, Clock: c.cfg.Clock, URL: url,
		Local:   func(body any) { c.dispatcher.Put(body) },
		Decided: func(body any) { c.stages().Send(messenger.Scheduler, body) },
		Dropped: func(string) { c.cfg.Reporter.Count("delegatedDropped", 1) },
	})
	orders := c.cfg.Dispatcher
	orders.Clock = c.cfg.Clock
	orders.Reply = c.delegator.Reply
	orders.Dropped = func(string) { c.cfg.Reporter.Count("ordersDropped", 1) }
	c.dispatcher = dispatcher.NewDispatcher(orders)
	c.responder = responder.NewResponder(responder.Config{
		Ticket: rand.Uint64() >> 1,
		Offer:  func(call messenger.Call) bool { return c.stages().Offer(messenger.Scheduler, call) },
	})
}

func (c *Controller) startLine() {
	node := assembler.NewJobsNode(c.cfg.Clock(), assembler.JobsNodeConfig{
		Jobs: assembler.JobsConfig{
			Name: c.cfg.Name, Disk: c.identity, Durable: true, Peers: c.peers(),
			Heartbeat: heartbeat, Election: electionTime, Drift: clockDrift,
			CompactAfter: compactAfter, KeepEntries: keepEntries, MaxApply: applyAtOnce,
			Seed: rand.Uint64(), Elastic: true, Voters: c.cfg.Voters,
		},
		Scheduler: c.cfg.Scheduler,
		Ticket:    rand.Uint64() >> 1,
		Violated: func(err error) {
			c.cfg.Reporter.Count("invariantViolations", 1)
			c.cfg.Log.Error().Err(err).Msg("invariant violated")
		},
	}, c.disk)
	c.recorder = recorder.NewRecorder(recorder.Config[registrar.Command, registrar.State, registrar.Result]{
		Store:     c.store,
		Send:      func(m assembler.JobsMessage) { c.courier.Send(m) },
		Persisted: func(p replicator.Persisted) { c.stages().Send(messenger.Jobs, p) },
		Synced: func(n int, took time.Duration) {
			c.cfg.Reporter.Count("jobsSyncs", 1)
			c.cfg.Reporter.Count("jobsWrites", int64(n))
			c.cfg.Reporter.Time("jobsSync", took)
		},
		Full:   c.cfg.Reporter.DiskFull,
		Failed: c.cfg.Failed,
	})
	c.line = runner.NewLine(runner.LineConfig{
		Node: node,
		Edges: map[messenger.Stage]func(any){
			messenger.Courier:    c.courier.Send,
			messenger.Recorder:   func(body any) { c.recorder.Put(body.(assembler.JobsWrite)) },
			messenger.Dispatcher: c.delegator.Put,
			messenger.Provider:   c.dispatcher.Put,
			messenger.Responder:  c.takeView,
			messenger.Reporter:   c.cfg.Reporter.Take,
		},
		Clock:    c.cfg.Clock,
		Requests: requestRing,
		Control:  controlRing,
		Dropped:  func(messenger.Stage) { c.cfg.Reporter.Count("ringsFull", 1) },
	})
	close(c.started)
}

// takeView tells of a change of the lead and hands the message on.
func (c *Controller) takeView(body any) {
	v, ok := body.(messenger.JobsView)
	if ok && v.Leads != c.View().Leads {
		c.cfg.Lead(v.Leads)
	}
	c.responder.Take(body)
}

func (c *Controller) peers() []replicator.Peer {
	var out []replicator.Peer
	for _, name := range c.cfg.Seeds {
		if name != c.cfg.Name {
			out = append(out, replicator.Peer{Name: name, Voter: true, Hears: true})
		}
	}
	return out
}

// stages is the line of stages. An edge may have something for it before it is there.
func (c *Controller) stages() *runner.Line {
	<-c.started
	return c.line
}

func (c *Controller) listen() error {
	listener, err := net.Listen("tcp", c.cfg.Name)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", c.cfg.Name, err)
	}
	mux := http.NewServeMux()
	mux.Handle(encoder.PeerPathPrefix, encoder.NewPeerServer(c.inbox))
	mux.Handle(encoder.JobsPathPrefix, encoder.NewJobsServer(relay{c}))
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: peerIdle, ErrorLog: log.New(c.cfg.Log, "", 0)}
	c.done.Go(func() {
		err := c.server.Serve(listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			c.cfg.Failed(fmt.Errorf("serve peers: %w", err))
		}
	})
	return nil
}

// Call brings a call to the scheduler of this node.
func (c *Controller) Call(ctx context.Context, body any) messenger.JobAnswer {
	return c.responder.Call(ctx, body)
}

// View is what this node last knew of the group.
func (c *Controller) View() messenger.JobsView { return c.responder.View() }

// Leads tells whether this node leads now.
func (c *Controller) Leads() bool {
	v := c.View()
	return v.Leads && c.cfg.Clock().Before(v.LeaseEnd)
}

// Stop hands the lead over and ends all threads.
func (c *Controller) Stop() {
	wait := time.NewTimer(resignTime)
	defer wait.Stop()
	c.stages().Send(messenger.Jobs, messenger.Resign{})
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for c.View().Leads {
		select {
		case <-poll.C:
			continue
		case <-wait.C:
		}
		break
	}
	_ = c.server.Close() // calls in progress are repeated elsewhere
	c.dispatcher.Stop()
	c.delegator.Stop()
	c.line.Stop()
	c.courier.Stop()
	c.recorder.Stop()
	_ = c.store.Close() // all that was promised is synced
	c.done.Wait()
}
