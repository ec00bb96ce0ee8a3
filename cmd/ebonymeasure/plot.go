package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/ebonydyke/ebonydyke/internal/measure"
)

var curveColors = map[string]color.Color{
	"ours":      color.RGBA{B: 200, A: 255},
	"ours-hint": color.RGBA{G: 140, A: 255},
	"oracle":    color.RGBA{A: 255},
}

// plotCurve plots reuse and p99 skew against the bound, if the curve was run.
func plotCurve(path string, figures []measure.Figures) error {
	p := plot.New()
	p.Title.Text = "Cache reuse and p99 skew over the bound"
	p.X.Label.Text = "bound"
	p.Y.Label.Text = "reuse (solid), p99 of busiest over mean (dashed)"
	drawn := false
	for _, policy := range []string{"ours", "ours-hint", "oracle"} {
		var reuse, skew plotter.XYs
		for _, f := range figures {
			if f.Scenario == "curve" && f.Policy == policy {
				reuse = append(reuse, plotter.XY{X: f.Bound, Y: f.Reuse})
				skew = append(skew, plotter.XY{X: f.Bound, Y: f.P99Skew})
			}
		}
		if len(reuse) == 0 {
			continue
		}
		drawn = true
		if err := addLine(p, policy+" reuse", reuse, curveColors[policy], nil); err != nil {
			return err
		}
		if err := addLine(p, policy+" skew", skew, curveColors[policy], []vg.Length{vg.Points(4), vg.Points(3)}); err != nil {
			return err
		}
	}
	if !drawn {
		return nil
	}
	if err := p.Save(16*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fmt.Errorf("measure: plot: %w", err)
	}
	return nil
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color, dashes []vg.Length) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("measure: plot %s: %w", name, err)
	}
	line.Color, line.Dashes = c, dashes
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
