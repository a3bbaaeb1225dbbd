package experimenter

import (
	"time"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// Goodputs returns the goodput of all workloads except the flood and the flooding
// customer's own builds, for each second of a trial.
func (t Trial) Goodputs() []float64 {
	w := t.world()
	begin := w.Now()
	t.runLoad(w)
	seconds := int(t.Duration / time.Second)
	offered := make([]float64, seconds)
	answered := make([]float64, seconds)
	for _, c := range w.Calls {
		second := int(c.SentAt.Sub(begin) / time.Second)
		if c.Body == floodName || c.Body == "build of school" || second < 0 || second >= seconds {
			continue
		}
		offered[second]++
		if c.Answered && c.Answer.Outcome == messenger.Answered {
			answered[second]++
		}
	}
	for i := range answered {
		answered[i] /= max(offered[i], 1)
	}
	return answered
}

// Progress returns the fraction of the fleet that has been maintained, for each
// second of a roll-out.
func (t RolloutTrial) Progress() []float64 {
	var out []float64
	t.Fault = func(w *World, _ time.Duration) {
		wave := w.wave()
		out = append(out, float64(wave.Done)/float64(max(wave.Total, 1)))
	}
	r := t.Run()
	if r.State == keeper.WaveDone {
		out = append(out, 1)
	}
	return out
}
