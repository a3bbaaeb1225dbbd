package server

import (
	"fmt"
	"time"

	"laburnumwind/assembler"
	"laburnumwind/claimer"
	"laburnumwind/encoder"
	"laburnumwind/keeper"
	"laburnumwind/loader"
	"laburnumwind/messenger"
	"laburnumwind/recorder"
	"laburnumwind/replicator"
)

type (
	declarationsStore    = recorder.Store[keeper.Command, keeper.State, keeper.Result]
	declarationsRecorder = recorder.Recorder[keeper.Command, keeper.State, keeper.Result]
	claimsStore          = recorder.Store[claimer.Command, claimer.Claims, claimer.Result]
	claimsRecorder       = recorder.Recorder[claimer.Command, claimer.Claims, claimer.Result]
)

// storage is the data folder of an instance. Without a data folder it holds only
// the initial state, and nothing is written.
type storage struct {
	diskID               string // identifies the disk in the replication groups; a member with another disk ID has lost its disk
	declarations         assembler.DeclarationsStoredState
	claims               assembler.ClaimsStoredState
	declarationsStore    *declarationsStore
	claimsStore          *claimsStore
	declarationsRecorder *declarationsRecorder
	claimsRecorder       *claimsRecorder
}

// storageCallbacks are the functions that the recorder threads call.
type storageCallbacks struct {
	sendDeclarations func(assembler.DeclarationsMessage)
	sendClaims       func(assembler.ClaimsMessage)
	onPersisted      func(messenger.Stage, replicator.Persisted)
	onSync           func(group string, writes int, elapsed time.Duration)
	onDiskError      func(error)
	onFailure        func(error)
}

// Init creates the data folder of a voter of a new system. It must not be used for
// a voter that lost its disk, because it would give the empty folder the disk ID of a
// member that has voted and has log entries. Such a voter starts with an empty folder
// and is added to the groups again. Init returns an error if the folder already has a
// disk ID.
func Init(settings loader.Settings) error {
	storedDiskID, err := recorder.ReadDiskID(settings.DataFolder)
	if err != nil {
		return fmt.Errorf("read disk ID: %w", err)
	}
	if storedDiskID != "" {
		return fmt.Errorf("data folder %s is already initialized with disk ID %s: %w", settings.DataFolder, storedDiskID, loader.ErrSettings)
	}
	var members []replicator.Member
	for _, name := range settings.Voters() {
		members = append(members, replicator.Member{Name: name, DiskID: recorder.InitialDiskID(name)})
	}
	var s storage
	s.declarations = replicator.Bootstrap[keeper.Command](members, keeper.NewState())
	s.claims = replicator.Bootstrap[claimer.Command](members, claimer.NewClaims())
	err = s.openStores(settings.DataFolder, false)
	if err != nil {
		return fmt.Errorf("create replicated logs: %w", err)
	}
	s.stop()
	return recorder.WriteDiskID(settings.DataFolder, recorder.InitialDiskID(settings.Name))
}

// open reads the state from the data folder, if one is configured. A folder without a
// disk ID gets a new one after its logs are created. An instance without a data folder
// gets a new disk ID in each process run.
func (s *storage) open(settings loader.Settings) error {
	s.diskID = recorder.NewDiskID(settings.Name)
	s.declarations.Snapshot.Machine = keeper.NewState()
	s.claims.Snapshot.Machine = claimer.NewClaims()
	if settings.DataFolder == "" {
		return nil
	}
	storedDiskID, err := recorder.ReadDiskID(settings.DataFolder)
	if err != nil {
		return fmt.Errorf("read disk ID: %w", err)
	}
	err = s.openStores(settings.DataFolder, storedDiskID != "")
	if err != nil {
		return err
	}
	if storedDiskID != "" {
		s.diskID = storedDiskID
		return nil
	}
	return recorder.WriteDiskID(settings.DataFolder, s.diskID)
}

// openStores opens the logs of both replication groups. If hasDiskID is true, it returns
// an error if the files of a group are missing.
func (s *storage) openStores(folder string, hasDiskID bool) error {
	var err error
	s.declarationsStore, s.declarations, err = recorder.OpenStore(recorder.StoreConfig[keeper.Command, keeper.State, keeper.Result]{Folder: folder, Group: groupDeclarations, Codec: encoder.DeclarationsCodec(), Initial: s.declarations, HasDiskID: hasDiskID})
	if err != nil {
		return fmt.Errorf("open log of declarations: %w", err)
	}
	s.claimsStore, s.claims, err = recorder.OpenStore(recorder.StoreConfig[claimer.Command, claimer.Claims, claimer.Result]{Folder: folder, Group: groupClaims, Codec: encoder.ClaimsCodec(), Initial: s.claims, HasDiskID: hasDiskID})
	if err != nil {
		return fmt.Errorf("open log of claims: %w", err)
	}
	return nil
}

// start starts the recorder threads, if there is a data folder.
func (s *storage) start(callbacks storageCallbacks) {
	if s.declarationsStore == nil {
		return
	}
	s.declarationsRecorder = recorder.NewRecorder(recorder.Config[keeper.Command, keeper.State, keeper.Result]{
		Store:       s.declarationsStore,
		Send:        callbacks.sendDeclarations,
		OnPersisted: func(p replicator.Persisted) { callbacks.onPersisted(messenger.Declarations, p) },
		OnSync:      func(n int, elapsed time.Duration) { callbacks.onSync(groupDeclarations, n, elapsed) },
		OnDiskError: callbacks.onDiskError,
		OnFailure:   callbacks.onFailure,
	})
	s.claimsRecorder = recorder.NewRecorder(recorder.Config[claimer.Command, claimer.Claims, claimer.Result]{
		Store:       s.claimsStore,
		Send:        callbacks.sendClaims,
		OnPersisted: func(p replicator.Persisted) { callbacks.onPersisted(messenger.Claims, p) },
		OnSync:      func(n int, elapsed time.Duration) { callbacks.onSync(groupClaims, n, elapsed) },
		OnDiskError: callbacks.onDiskError,
		OnFailure:   callbacks.onFailure,
	})
}

// put passes a write to the recorder of its group.
func (s *storage) put(body any) {
	switch write := body.(type) {
	case assembler.DeclarationsWrite:
		s.declarationsRecorder.Put(write)
	case assembler.ClaimsWrite:
		s.claimsRecorder.Put(write)
	}
}

// stop stops the recorder threads and closes the logs.
func (s *storage) stop() {
	if s.declarationsRecorder != nil {
		s.declarationsRecorder.Stop()
		s.claimsRecorder.Stop()
	}
	if s.declarationsStore != nil {
		_ = s.declarationsStore.Close() // all acknowledged writes are already synced
	}
	if s.claimsStore != nil {
		_ = s.claimsStore.Close()
	}
}
