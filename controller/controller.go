// Package controller runs a node of the jobs group. It connects the stages of the pipeline to
// the log on disk, to the peers and to the functions in the configuration that call workers,
// the provider and the advisor.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"laburnumwind/acceptor"
	"laburnumwind/assembler"
	"laburnumwind/connector"
	"laburnumwind/courier"
	"laburnumwind/delegator"
	"laburnumwind/dispatcher"
	"laburnumwind/encoder"
	"laburnumwind/limiter"
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
	groupName = "jobs"

	electionTimeout   = 500 * time.Millisecond // one sixth of the 3 seconds within which a new leader must act
	heartbeatInterval = 100 * time.Millisecond
	maxClockDrift     = 50 * time.Millisecond // maximum drift between the clocks of two instances within one election timeout
	compactAfter      = 600                   // minimum number of entries between snapshots; a busy log appends them in about ten seconds
	maxApplyBatch     = 64                    // maximum number of entries applied in one step; such a step takes some tens of milliseconds on a small machine
	trailingEntries   = 256                   // number of entries before a snapshot that are kept for followers that lag

	peerTimeout     = 700 * time.Millisecond // timeout of one exchange with a peer
	peerDialTimeout = 400 * time.Millisecond
	peerAckTimeout  = time.Second // time without acknowledgment of sent data after which a connection is closed

	requestRingSize = 1024  // maximum number of calls that wait for the scheduler
	controlRingSize = 16384 // maximum number of other messages that wait for a stage

	handOverTimeout = 2 * time.Second // maximum time that Stop waits until other nodes have the leadership and the vote

	readHeaderTimeout = 5 * time.Second
	peerReadTimeout   = 10 * time.Second // for a whole request; an exchange with a peer ends after peerTimeout
	peerWriteTimeout  = 20 * time.Second
	maxPeerBody       = 128 << 20 // bytes; a snapshot is the largest message
	maxPeerHeader     = 16 << 10  // bytes
)

// PeerIdleTimeout is the time after which the peer listener closes an idle connection. Clients must close theirs earlier.
const PeerIdleTimeout = 30 * time.Second

// Config describes a node of the jobs group.
type Config struct {
	Name               string   // address of the peer listener and name of the node in the group
	DataFolder         string   // folder of the log and the disk ID
	Seeds              []string // names of nodes to contact first
	InitialVoters      []string // voters of a new group; empty: the group exists or other nodes bootstrap it
	Voters             int      // target number of voters
	Clock              func() time.Time
	Log                zerolog.Logger
	Reporter           *reporter.Reporter
	Acceptor           *acceptor.Acceptor // limits of the process; nil: no limits
	Scheduler          scheduler.Config
	Dispatcher         dispatcher.Config    // only the functions that make calls; the controller sets the other fields
	OnLeadershipChange func(leads bool)     // called with true when this node becomes leader, with false when it stops leading
	SyncFile           func(*os.File) error // makes the writes of a file in DataFolder durable; nil: (*os.File).Sync
	OnFailure          func(error)          // called on an error after which the node cannot continue
}

// Controller is a running node of the jobs group.
type Controller struct {
	cfg        Config
	pipeline   *runner.Pipeline
	started    chan struct{} // closed once pipeline is set
	courier    *courier.Courier
	inbox      *courier.Inbox
	dispatcher *dispatcher.Dispatcher
	delegator  *delegator.Delegator
	responder  *responder.Responder
	store      *recorder.Store[registrar.Command, registrar.State, registrar.Result]
	recorder   *recorder.Recorder[registrar.Command, registrar.State, registrar.Result]
	diskID     string
	stored     assembler.JobsStoredState
	server     *http.Server
	wg         sync.WaitGroup

	explanations explainGate
}

// NewController starts a node. It returns an error if the data folder or the listener
// cannot be opened.
func NewController(cfg Config) (*Controller, error) {
	c := &Controller{cfg: cfg, started: make(chan struct{})}
	err := recorder.Retry(context.Background(), cfg.Reporter.DiskError, c.openDisk)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	c.createIO()
	c.startPipeline()
	err = c.listen()
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return c, nil
}

// openDisk reads the disk ID and opens the log. The empty disk of an initial voter gets the
// initial disk ID of that voter and the log of the new group. Any other empty disk gets a new
// disk ID, so that a node that lost its log does not vote as the voter it was before.
func (c *Controller) openDisk() error {
	storedDiskID, err := recorder.ReadDiskID(c.cfg.DataFolder)
	if err != nil {
		return fmt.Errorf("read disk ID: %w", err)
	}
	initial := assembler.JobsStoredState{Snapshot: replicator.Snapshot[registrar.State]{Machine: registrar.NewState()}}
	isInitialVoter := false
	var members []replicator.Member
	for _, name := range c.cfg.InitialVoters {
		isInitialVoter = isInitialVoter || name == c.cfg.Name
		members = append(members, replicator.Member{Name: name, DiskID: recorder.InitialDiskID(name)})
	}
	c.diskID = storedDiskID
	if storedDiskID == "" && isInitialVoter {
		c.diskID = recorder.InitialDiskID(c.cfg.Name)
		initial = replicator.Bootstrap[registrar.Command](members, registrar.NewState())
	}
	if c.diskID == "" {
		c.diskID = recorder.NewDiskID(c.cfg.Name)
	}
	c.store, c.stored, err = recorder.OpenStore(recorder.StoreConfig[registrar.Command, registrar.State, registrar.Result]{
		Folder: c.cfg.DataFolder, Group: groupName, Codec: encoder.JobsCodec(), Initial: initial, HasDiskID: storedDiskID != "", SyncFile: c.cfg.SyncFile,
	})
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	c.cfg.Log.Info().Str("disk", c.diskID).Bool("founds", isInitialVoter && storedDiskID == "").Uint64("term", c.stored.Term).Int("entries", len(c.stored.Entries)).Msg("disk opened")
	if storedDiskID == "" {
		return recorder.WriteDiskID(c.cfg.DataFolder, c.diskID)
	}
	return nil
}

// createIO creates the components that do I/O for the pipeline: the exchange with peers,
// the calls to workers, provider and advisor, and the answers to callers.
func (c *Controller) createIO() {
	peers := &http.Client{Transport: connector.NewTransport(connector.Config{
		DialTimeout: peerDialTimeout, UnackedTimeout: peerAckTimeout, IdleTimeout: PeerIdleTimeout, MaxIdlePerHost: 4,
	})}
	url := func(peer string) string { return "http://" + peer }
	replies := courier.NewReplies()
	c.inbox = &courier.Inbox{
		Put:     func(to messenger.Stage, body any) bool { return c.startedPipeline().TrySend(to, body) },
		Replies: replies,
	}
	c.courier = courier.NewCourier(courier.Config{
		Name:      c.cfg.Name,
		Client:    peers,
		OnDropped: func(string) { c.cfg.Reporter.Count("peerMessagesDropped", 1) },
		OnSent: func(_ string, n, bytes int) {
			c.cfg.Reporter.Count("peerMessagesSent", int64(n))
			c.cfg.Reporter.Count("peerBytesSent", int64(bytes))
		},
		Replies: replies,
		Receive: c.inbox.ReceiveAll,
		PeerURL: url,
		Timeout: peerTimeout,
	})
	c.delegator = delegator.NewDelegator(delegator.Config{
		Name: c.cfg.Name, Client: peers, Clock: c.cfg.Clock, URL: url,
		Execute:     func(body any) { c.dispatcher.Put(body) },
		HandleReply: func(body any) { c.startedPipeline().Send(messenger.Scheduler, body) },
		OnDropped:   func(string) { c.cfg.Reporter.Count("delegatedDropped", 1) },
	})
	dispatcherConfig := c.cfg.Dispatcher
	dispatcherConfig.Clock = c.cfg.Clock
	dispatcherConfig.Reply = c.delegator.Reply
	dispatcherConfig.OnPanic = func(err error) { c.reportPanic(messenger.Dispatcher, err) }
	dispatcherConfig.OnDropped = func(string) { c.cfg.Reporter.Count("ordersDropped", 1) }
	c.dispatcher = dispatcher.NewDispatcher(dispatcherConfig)
	c.responder = responder.NewResponder(responder.Config{
		LastCallID: rand.Uint64() >> 1,
		Offer:      func(call messenger.Call) bool { return c.startedPipeline().Offer(messenger.Scheduler, call) },
	})
}

// startPipeline starts the recorder, which writes the log, and the stages of the node.
func (c *Controller) startPipeline() {
	node := assembler.NewJobsNode(c.cfg.Clock(), assembler.JobsNodeConfig{
		Jobs: assembler.JobsConfig{
			Name: c.cfg.Name, DiskID: c.diskID, Durable: true, Peers: c.peers(),
			HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, MaxClockDrift: maxClockDrift,
			CompactAfter: compactAfter, TrailingEntries: trailingEntries, MaxApplyPerStep: maxApplyBatch,
			Seed: rand.Uint64(), DynamicMembership: true, TargetVoters: c.cfg.Voters,
		},
		Scheduler:      c.cfg.Scheduler,
		LastProposalID: rand.Uint64() >> 1, // random, so that IDs differ from those of earlier runs; the shift leaves room to count up
		OnViolation: func(err error) {
			c.cfg.Reporter.Count("invariantViolations", 1)
			c.cfg.Log.Error().Err(err).Msg("invariant violated")
		},
	}, c.stored)
	c.recorder = recorder.NewRecorder(recorder.Config[registrar.Command, registrar.State, registrar.Result]{
		Store:       c.store,
		Send:        func(m assembler.JobsMessage) { c.courier.Send(m) },
		OnPersisted: func(p replicator.Persisted) { c.startedPipeline().Send(messenger.Jobs, p) },
		OnSync: func(n int, took time.Duration) {
			c.cfg.Reporter.Count("jobsSyncs", 1)
			c.cfg.Reporter.Count("jobsWrites", int64(n))
			c.cfg.Reporter.Time("jobsSync", took)
		},
		OnDiskError: c.cfg.Reporter.DiskError,
		OnFailure:   c.cfg.OnFailure,
	})
	c.pipeline = runner.NewPipeline(runner.PipelineConfig{
		Node: node,
		IOStages: map[messenger.Stage]func(any){
			messenger.Courier:    c.courier.Send,
			messenger.Recorder:   func(body any) { c.recorder.Put(body.(assembler.JobsWrite)) },
			messenger.Dispatcher: c.delegator.Put,
			messenger.Provider:   c.dispatcher.Put,
			messenger.Responder:  c.handleView,
			messenger.Reporter:   c.cfg.Reporter.Handle,
		},
		Clock:           c.cfg.Clock,
		RequestCapacity: requestRingSize,
		ControlCapacity: controlRingSize,
		OnRingFull:      func(messenger.Stage) { c.cfg.Reporter.Count("ringsFull", 1) },
		OnPanic:         c.reportPanic,
		OnFailure:       c.cfg.OnFailure,
	})
	close(c.started)
}

// reportPanic logs and counts a panic of a stage.
func (c *Controller) reportPanic(stage messenger.Stage, err error) {
	c.cfg.Reporter.Count("panics", 1)
	c.cfg.Log.Error().Err(err).Int("stage", int(stage)).Msg("stage panicked")
}

// handleView reports a change of leadership to Config.OnLeadershipChange and passes the message to the responder.
func (c *Controller) handleView(body any) {
	v, ok := body.(messenger.JobsView)
	if ok && v.IsLeader != c.View().IsLeader {
		c.cfg.OnLeadershipChange(v.IsLeader)
	}
	c.responder.Handle(body)
}

// peers returns the seeds other than this node as the initial peers. Each of them may become a voter.
func (c *Controller) peers() []replicator.Peer {
	var out []replicator.Peer
	for _, name := range c.cfg.Seeds {
		if name != c.cfg.Name {
			out = append(out, replicator.Peer{Name: name, CanVote: true, Learner: true})
		}
	}
	return out
}

// startedPipeline returns the pipeline and waits until it is set: the I/O components may send
// a message before that.
func (c *Controller) startedPipeline() *runner.Pipeline {
	<-c.started
	return c.pipeline
}

func (c *Controller) listen() error {
	listener, err := net.Listen("tcp", c.cfg.Name)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", c.cfg.Name, err)
	}
	mux := http.NewServeMux()
	mux.Handle(encoder.PeerPathPrefix, encoder.NewPeerServer(c.inbox))
	mux.Handle(encoder.JobsPathPrefix, encoder.NewJobsServer(jobsService{c}))
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: peerReadTimeout, WriteTimeout: peerWriteTimeout, IdleTimeout: PeerIdleTimeout, MaxHeaderBytes: maxPeerHeader, ErrorLog: log.New(c.cfg.Log, "", 0)}
	if c.cfg.Acceptor != nil {
		listener = c.cfg.Acceptor.Listen(listener, acceptor.ListenerConfig{Group: limiter.Peers, Refuse: refuseCall})
		c.cfg.Acceptor.Protect(c.server, maxPeerBody)
	}
	c.wg.Go(func() {
		err := c.server.Serve(listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			c.cfg.OnFailure(fmt.Errorf("serve peers: %w", err))
		}
	})
	return nil
}

// refuseCall responds that a peer's call was not carried out, in a form that its client recognizes.
func refuseCall(w http.ResponseWriter) {
	acceptor.PrepareRefusal(w)
	encoder.RefuseCall(w)
}

// Call passes a call to the scheduler of this node and returns the answer.
func (c *Controller) Call(ctx context.Context, body any) messenger.JobAnswer {
	return c.responder.Call(ctx, body)
}

// View returns the latest state of the group that this node knows.
func (c *Controller) View() messenger.JobsView { return c.responder.View() }

// Leads reports whether this node is the leader and its lease has not expired.
func (c *Controller) Leads() bool {
	v := c.View()
	return v.IsLeader && c.cfg.Clock().Before(v.LeaseEnd)
}

// Stop hands over the leadership and the vote of this node, closes the listener and stops all
// goroutines.
func (c *Controller) Stop() {
	c.handOver()
	_ = c.server.Close() // callers retry calls in progress at other nodes
	c.dispatcher.Stop()
	c.delegator.Stop()
	c.pipeline.Stop()
	c.courier.Stop()
	c.recorder.Stop()
	_ = c.store.Close() // every acknowledged write has been synced
	c.wg.Wait()
}

// handOver waits until another node leads and a learner has this node's vote, but at most
// handOverTimeout: there may be no learner.
func (c *Controller) handOver() {
	timeout := time.NewTimer(handOverTimeout)
	defer timeout.Stop()
	c.startedPipeline().Send(messenger.Jobs, messenger.Resign{})
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for {
		view := c.View()
		if !view.IsLeader && !slices.Contains(view.Members, c.cfg.Name) {
			c.cfg.Log.Info().Msg("vote handed over")
			return
		}
		select {
		case <-poll.C:
		case <-timeout.C:
			c.cfg.Log.Info().Bool("leads", view.IsLeader).Strs("voters", view.Members).Msg("stopping as a voter")
			return
		}
	}
}
