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
	claimsStore          = recorder.Store[claimer.Command, claimer.Register, claimer.Result]
	claimsRecorder       = recorder.Recorder[claimer.Command, claimer.Register, claimer.Result]
)

// disks is the data folder of an instance, or nothing on one without a disk.
type disks struct {
	identity          string
	declarations      assembler.DeclarationsDisk
	claims            assembler.ClaimsDisk
	declarationsStore *declarationsStore
	claimsStore       *claimsStore
	declarationsDuty  *declarationsRecorder
	claimsDuty        *claimsRecorder
}

type diskEdges struct {
	declarations func(assembler.DeclarationsMessage)
	claims       func(assembler.ClaimsMessage)
	persisted    func(messenger.Stage, replicator.Persisted)
	synced       func(group string, writes int, took time.Duration)
	full         func(error)
	failed       func(error)
}

// Init makes the data folder of a voter of a new system. It is never run for a
// voter that lost its disk: that one starts with an empty folder and is taken in again.
func Init(set loader.Settings) error {
	identity, err := recorder.Identity(set.DataFolder)
	if err != nil {
		return fmt.Errorf("look for an identity: %w", err)
	}
	if identity != "" {
		return fmt.Errorf("data folder %s has identity %s: %w", set.DataFolder, identity, loader.ErrSettings)
	}
	var members []replicator.Member
	for _, name := range set.Voters() {
		members = append(members, replicator.Member{Name: name, Disk: recorder.FirstDisk(name)})
	}
	var d disks
	d.declarations = replicator.Bootstrap[keeper.Command](members, keeper.NewState())
	d.claims = replicator.Bootstrap[claimer.Command](members, claimer.NewRegister())
	err = d.openStores(set.DataFolder, false)
	if err != nil {
		return fmt.Errorf("make logs: %w", err)
	}
	d.stop()
	return recorder.WriteIdentity(set.DataFolder, recorder.FirstDisk(set.Name))
}

func (d *disks) open(set loader.Settings) error {
	d.identity = recorder.NewDisk(set.Name)
	d.declarations.Snapshot.Machine = keeper.NewState()
	d.claims.Snapshot.Machine = claimer.NewRegister()
	if set.DataFolder == "" {
		return nil
	}
	identity, err := recorder.Identity(set.DataFolder)
	if err != nil {
		return fmt.Errorf("read identity: %w", err)
	}
	err = d.openStores(set.DataFolder, identity != "")
	if err != nil {
		return err
	}
	if identity != "" {
		d.identity = identity
		return nil
	}
	return recorder.WriteIdentity(set.DataFolder, d.identity)
}

func (d *disks) openStores(folder string, identified bool) error {
	var err error
	d.declarationsStore, d.declarations, err = recorder.OpenStore(folder, groupDeclarations, encoder.DeclarationsCodec(), d.declarations, identified)
	if err != nil {
		return fmt.Errorf("open declarations: %w", err)
	}
	d.claimsStore, d.claims, err = recorder.OpenStore(folder, groupClaims, encoder.ClaimsCodec(), d.claims, identified)
	if err != nil {
		return fmt.Errorf("open claims: %w", err)
	}
	return nil
}

// start starts the threads that write.
func (d *disks) start(edges diskEdges) {
	if d.declarationsStore == nil {
		return
	}
	d.declarationsDuty = recorder.NewRecorder(recorder.Config[keeper.Command, keeper.State, keeper.Result]{
		Store:     d.declarationsStore,
		Send:      edges.declarations,
		Persisted: func(p replicator.Persisted) { edges.persisted(messenger.Declarations, p) },
		Synced:    func(n int, took time.Duration) { edges.synced(groupDeclarations, n, took) },
		Full:      edges.full,
		Failed:    edges.failed,
	})
	d.claimsDuty = recorder.NewRecorder(recorder.Config[claimer.Command, claimer.Register, claimer.Result]{
		Store:     d.claimsStore,
		Send:      edges.claims,
		Persisted: func(p replicator.Persisted) { edges.persisted(messenger.Claims, p) },
		Synced:    func(n int, took time.Duration) { edges.synced(groupClaims, n, took) },
		Full:      edges.full,
		Failed:    edges.failed,
	})
}

// put hands a write to the thread of its group.
func (d *disks) put(body any) {
	switch w := body.(type) {
	case assembler.DeclarationsWrite:
		d.declarationsDuty.Put(w)
	case assembler.ClaimsWrite:
		d.claimsDuty.Put(w)
	}
}

func (d *disks) stop() {
	if d.declarationsDuty != nil {
		d.declarationsDuty.Stop()
		d.claimsDuty.Stop()
	}
	if d.declarationsStore != nil {
		_ = d.declarationsStore.Close() // all that was promised is synced
	}
	if d.claimsStore != nil {
		_ = d.claimsStore.Close()
	}
}
