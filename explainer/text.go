package explainer

import (
	"fmt"
	"io"
	"strings"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// WriteText writes an explanation as text.
func WriteText(w io.Writer, e messenger.Explanation) error {
	var b strings.Builder
	line := func(name, format string, values ...any) {
		fmt.Fprintf(&b, "%-10s "+format+"\n", append([]any{name}, values...)...)
	}
	line("verdict", "%s", e.Verdict)
	if e.Reason != "" {
		line("reason", "%s", e.Reason)
	}
	line("leader", "term %d, configuration %d", e.Term, e.Config)
	if e.Queue != "" {
		line("queue", "%s, pool %s, priority %d", e.Queue, e.Pool, e.Priority)
	}
	if s := e.Team; s != nil {
		line("team", "%s, weight %g, uses %s, limit %s", s.Name, s.Weight, resources(s.Used), limit(s.Limit))
		if s.HasRatio {
			line("share", "uses %.2f times its share", s.Ratio)
		}
	}
	if l := e.Load; l != nil {
		line("load", "expected wait %v, refused beyond %v, should complete within %v", rounded(l.Wait), rounded(l.Limit), rounded(l.Allowed))
		if l.RetryAfter > 0 {
			line("", "Retry-After %.0f s", l.RetryAfter.Seconds())
		}
	}
	for _, s := range e.Steps {
		line(fmt.Sprintf("step %d", s.Step), "%d of %d tasks would start now", s.Starting, s.Tasks)
		writeStep(&b, s)
	}
	_, err := io.WriteString(w, b.String())
	if err != nil {
		return fmt.Errorf("write explanation: %w", err)
	}
	return nil
}

// writeStep writes where the tasks of a step start and why others wait.
func writeStep(b *strings.Builder, s messenger.StepExplanation) {
	for _, start := range s.Starts {
		fmt.Fprintf(b, "  %d on %s", start.Tasks, start.Worker)
		if start.Rack != "" {
			fmt.Fprintf(b, " in rack %s", start.Rack)
		}
		b.WriteByte('\n')
	}
	if s.Starting == s.Tasks {
		return
	}
	fmt.Fprintf(b, "  %d wait", s.Tasks-s.Starting)
	if s.Reason != "" {
		fmt.Fprintf(b, ": %s", s.Reason)
	}
	b.WriteByte('\n')
	if s.Held > 0 {
		fmt.Fprintf(b, "  %d held back by the limit of the team\n", s.Held)
	}
	if r := s.RackWait; r != nil {
		fmt.Fprintf(b, "  %d wait for rack %s, expected wait %v, a start elsewhere would lose %v\n", r.Tasks, r.Rack, rounded(r.Wait), rounded(r.Cost))
	}
	for _, c := range s.Counts {
		fmt.Fprintf(b, "  %d workers: %s\n", c.Workers, c.Reason)
	}
	for _, o := range s.Obstacles {
		fmt.Fprintf(b, "    %s: %s", o.Worker, o.Reason)
		if o.Free != (registrar.Resources{}) {
			fmt.Fprintf(b, ", free %s", resources(o.Free))
		}
		b.WriteByte('\n')
	}
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func resources(r registrar.Resources) string {
	return fmt.Sprintf("%g cores, %d MiB, %d accelerators", float64(r.CPU)/1000, r.Memory, r.GPU)
}

func limit(r registrar.Resources) string {
	if r == (registrar.Resources{}) {
		return "none"
	}
	return resources(r) + " (0: no limit)"
}
