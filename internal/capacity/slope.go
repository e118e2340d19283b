// Package capacity measures how memory, processor time, traffic and latency of
// each role grow with the size of the deployment, and extrapolates them to the
// design size. docs/CAPACITY.md holds the results.
package capacity

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// minPoints is the minimum number of sizes of a fit; with fewer, nonlinear growth
// would not show.
const minPoints = 4

// maxLinearResidual is the largest relative residual at which growth counts as
// linear.
const maxLinearResidual = 0.15

// Point is the value Y measured at the size X.
type Point struct {
	X float64
	Y float64
}

// Slope holds the measurements of one value at several deployment sizes.
type Slope struct {
	Role       string // router, owner, leader, follower, relay, operator
	Name       string
	SizeName   string
	Unit       string
	Points     []Point
	DesignSize float64 // size to extrapolate to
	Budget     float64 // upper bound of the value at DesignSize, 0 if there is none
}

// Fit is the least-squares line through the points of a Slope.
type Fit struct {
	Intercept    float64
	PerUnit      float64
	Residual     float64 // largest distance of a point from the line, relative to its value
	AtDesign     float64
	Nonlinear    bool
	WithinBudget bool // AtDesign is within the budget, or there is none
	TooFewPoints bool // fewer than minPoints sizes
}

// Fit returns the least-squares line through the points.
func (s Slope) Fit() Fit {
	if len(s.Points) < minPoints {
		return Fit{TooFewPoints: true}
	}
	xs := make([]float64, len(s.Points))
	ys := make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	intercept, perUnit := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Intercept: intercept, PerUnit: perUnit, AtDesign: intercept + perUnit*s.DesignSize}
	for i := range xs {
		if ys[i] == 0 {
			continue
		}
		f.Residual = math.Max(f.Residual, math.Abs(intercept+perUnit*xs[i]-ys[i])/math.Abs(ys[i]))
	}
	f.Nonlinear = f.Residual > maxLinearResidual
	f.WithinBudget = s.Budget == 0 || f.AtDesign <= s.Budget
	return f
}

// Write writes the points, the fit and the value at DesignSize as one line.
func (s Slope) Write(w io.Writer) error {
	f := s.Fit()
	verdict := "no bound"
	switch {
	case f.TooFewPoints:
		verdict = "too few sizes"
	case s.Budget > 0 && f.WithinBudget:
		verdict = fmt.Sprintf("bound %.4g met", s.Budget)
	case s.Budget > 0:
		verdict = fmt.Sprintf("bound %.4g NOT MET", s.Budget)
	}
	if _, err := fmt.Fprintf(w, "capacity %s %s:", s.Role, s.Name); err != nil {
		return err
	}
	for _, p := range s.Points {
		if _, err := fmt.Fprintf(w, " %g->%.4g", p.X, p.Y); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, " | %.4g + %.4g per %s, residual %.0f%%%s | at %g: %.4g %s, %s\n",
		f.Intercept, f.PerUnit, s.SizeName, 100*f.Residual, nonlinearNote(f), s.DesignSize, f.AtDesign, s.Unit, verdict)
	return err
}

func nonlinearNote(f Fit) string {
	if f.Nonlinear {
		return " (bends)"
	}
	return ""
}
