package keeper

import (
	"fmt"
	"time"
)

func (s State) startWave(now time.Time, c Command) (State, Result) {
	if s.wave.State == WaveRunning {
		return s, s.refuse(Conflict, fmt.Sprintf("wave %d is running", s.wave.ID))
	}
	id := s.wave.ID + 1
	total := 0
	for _, i := range s.Instances() {
		if i.Place == Quarantined || i.Pool == "" {
			continue
		}
		s = s.WithInstance(i.WithWave(id))
		total++
	}
	s.wave = Wave{ID: id, State: WaveRunning, Started: now, Total: total, MaxFailed: c.MaxFailed}
	return s, s.accept(Instance{})
}

func (s State) stopWave(now time.Time, c Command) (State, Result) {
	if s.wave.State != WaveRunning || s.wave.ID != c.Wave {
		return s, s.refuse(Conflict, fmt.Sprintf("wave %d is %s", s.wave.ID, s.wave.State))
	}
	return s.haltWave(now, WaveStopped), s.accept(Instance{})
}

// failWave records that an instance did not come back from its maintenance.
func (s State) failWave(now time.Time, i Instance) (State, Result) {
	if i.Place != Maintenance {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.Place))
	}
	counted := i.Wave != 0 && i.Wave == s.wave.ID
	s, r := s.move(now, i.WithWave(0), Lost)
	if !counted || s.wave.State != WaveRunning {
		return s, r
	}
	s.wave.Failed++
	if s.wave.Failed > s.wave.MaxFailed {
		return s.haltWave(now, WaveStopped), r
	}
	return s.endWave(now), r
}

// endWave closes the wave once every instance was maintained or has failed.
func (s State) endWave(now time.Time) State {
	if s.wave.State == WaveRunning && s.wave.Done+s.wave.Failed >= s.wave.Total {
		return s.haltWave(now, WaveDone)
	}
	return s
}

func (s State) haltWave(now time.Time, state WaveState) State {
	s.wave.State = state
	s.wave.Ended = now
	for _, i := range s.Instances() {
		if i.Wave != 0 {
			s = s.WithInstance(i.WithWave(0))
		}
	}
	return s
}
