package main

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"laburnumwind/experimenter"
)

type plotCommand struct {
	Folder string `default:"docs" help:"Folder of the files."`
	Seed   uint64 `default:"1" help:"Seed."`
}

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Run writes flood.svg and rollout.svg.
func (c plotCommand) Run() error {
	var flood []any
	for _, policy := range experimenter.AdmissionPolicies() {
		flood = append(flood, policy.Name, points(experimenter.FloodTrial(c.Seed, policy, 7).Goodputs()))
	}
	err := draw(filepath.Join(c.Folder, "flood.svg"), "Other work in a flood from 10 s to 40 s", "answered in time", flood)
	if err != nil {
		return err
	}
	rollout := []any{"by budget", points(experimenter.RolloutTrial{Seed: c.Seed, MaxDown: 3}.Progress())}
	return draw(filepath.Join(c.Folder, "rollout.svg"), "Maintenance of the whole fleet", "part maintained", rollout)
}

// points returns the values as points one second apart.
func points(values []float64) plotter.XYs {
	out := make(plotter.XYs, 0, len(values))
	for i, v := range values {
		out = append(out, plotter.XY{X: float64(i), Y: v})
	}
	return out
}

// draw writes an SVG file with lines over time. The argument lines alternates between the
// name of a line and its plotter.XYs, as plotutil.AddLines expects.
func draw(path, title, yLabel string, lines []any) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = yLabel
	p.Y.Min, p.Y.Max = 0, 1.05
	err := plotutil.AddLines(p, lines...)
	if err != nil {
		return fmt.Errorf("add lines to plot: %w", err)
	}
	p.Y.Min, p.Y.Max = 0, 1.05 // set again, because AddLines extends the axis to the data
	err = p.Save(plotWidth, plotHeight, path)
	if err != nil {
		return fmt.Errorf("save plot %s: %w", path, err)
	}
	return nil
}
