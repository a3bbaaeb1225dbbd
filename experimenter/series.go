package experimenter

import (
	"time"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// Goodputs runs a flood trial and returns the goodput of the requests sent in each second.
// It leaves out the same workloads as BackgroundOutcome. The goodput of a second without
// requests is zero.
func (t Trial) Goodputs() []float64 {
	cl := t.newCluster()
	begin := cl.Now()
	t.runLoad(cl)
	seconds := int(t.Duration / time.Second)
	offered := make([]float64, seconds)
	answered := make([]float64, seconds)
	for _, c := range cl.Calls {
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

// Progress runs the trial without its fault and returns the fraction of the fleet that has
// been maintained, for each second of the wave. The last element is 1 if the wave completes.
func (t RolloutTrial) Progress() []float64 {
	var out []float64
	t.InjectFault = func(cl *Cluster, _ time.Duration) {
		wave := cl.wave()
		out = append(out, float64(wave.Done)/float64(max(wave.Total, 1)))
	}
	r := t.Run()
	if r.State == keeper.WaveDone {
		out = append(out, 1)
	}
	return out
}
