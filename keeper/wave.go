package keeper

import (
	"fmt"
	"time"
)

// startWave starts a maintenance wave, which includes every instance that has a
// pool and is not quarantined. Only one wave can run at a time.
func (s State) startWave(now time.Time, c Command) (State, Result) {
	if s.wave.State == WaveRunning {
		return s, s.refuse(Conflict, fmt.Sprintf("wave %d is running", s.wave.ID))
	}
	id := s.wave.ID + 1
	total := 0
	for _, i := range s.Instances() {
		if i.State == Quarantined || i.Pool == "" {
			continue
		}
		s = s.WithInstance(i.WithWave(id))
		total++
	}
	s.wave = Wave{ID: id, State: WaveRunning, Started: now, Total: total, MaxFailed: c.MaxFailed}
	s = s.finishWaveIfDone(now)
	return s, s.accept(Instance{})
}

// quarantine takes an instance out of service, and out of the wave that waits for it.
func (s State) quarantine(now time.Time, i Instance) (State, Result) {
	inWave := i.Wave != 0 && i.Wave == s.wave.ID && s.wave.State == WaveRunning
	next, r := s.changeInstanceState(now, i.WithTarget("").WithWave(0), Quarantined)
	if r.Code != Accepted || !inWave {
		return next, r
	}
	next.wave.Total--
	return next.finishWaveIfDone(now), r
}

func (s State) stopWave(now time.Time, c Command) (State, Result) {
	if s.wave.State != WaveRunning || s.wave.ID != c.Wave {
		return s, s.refuse(Conflict, fmt.Sprintf("wave %d is %s", s.wave.ID, s.wave.State))
	}
	return s.finishWave(now, WaveStopped), s.accept(Instance{})
}

// failMaintenance handles an instance that did not return from its maintenance: it marks
// the instance as lost. If the instance belongs to the running wave, it also counts
// as failed, and the wave stops once more than MaxFailed instances have failed.
func (s State) failMaintenance(now time.Time, i Instance) (State, Result) {
	if i.State != Maintenance {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.State))
	}
	inWave := i.Wave != 0 && i.Wave == s.wave.ID
	s, r := s.changeInstanceState(now, i.WithWave(0), Lost)
	if !inWave || s.wave.State != WaveRunning {
		return s, r
	}
	s.wave.Failed++
	if s.wave.Failed > s.wave.MaxFailed {
		return s.finishWave(now, WaveStopped), r
	}
	return s.finishWaveIfDone(now), r
}

// finishWaveIfDone ends the wave once the maintenance of every instance is done or
// has failed.
func (s State) finishWaveIfDone(now time.Time) State {
	if s.wave.State == WaveRunning && s.wave.Done+s.wave.Failed >= s.wave.Total {
		return s.finishWave(now, WaveDone)
	}
	return s
}

// finishWave ends the wave with the given state and removes all remaining instances
// from it. It does not interrupt a drain or a maintenance in progress.
func (s State) finishWave(now time.Time, state WaveState) State {
	s.wave.State = state
	s.wave.Ended = now
	for _, i := range s.Instances() {
		if i.Wave != 0 {
			s = s.WithInstance(i.WithWave(0))
		}
	}
	return s
}
