// Package capacity measures how state, messages, processor time and memory of
// each role grow with the size of the deployment, and works out the values at
// the size to design for. docs/CAPACITY.md holds the results.
package capacity

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// minPoints is the number of sizes that a slope needs, so that a curve that
// bends is seen.
const minPoints = 4

// bendLimit is the largest relative residual of a fit that counts as a line.
const bendLimit = 0.15

// Point is one measured size.
type Point struct {
	X float64
	Y float64
}

// Slope is a measured dependence of one figure on one size.
type Slope struct {
	Role   string // router, owner, leader, follower, relay, operator
	Name   string
	XName  string
	Unit   string
	Points []Point
	At     float64 // size to design for
	Budget float64 // upper bound of the figure at that size, 0 if none is stated
}

// Fit is the least squares line through the points.
type Fit struct {
	Base      float64
	PerX      float64
	Residual  float64 // largest distance from the line, as a share of the value
	AtDesign  float64
	Bends     bool
	WithinOK  bool // AtDesign is within the budget, or there is none
	Undefined bool // fewer than minPoints sizes
}

// Fit returns the line through the points and its value at the design size.
func (s Slope) Fit() Fit {
	if len(s.Points) < minPoints {
		return Fit{Undefined: true}
	}
	xs := make([]float64, len(s.Points))
	ys := make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	base, perX := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Base: base, PerX: perX, AtDesign: base + perX*s.At}
	for i := range xs {
		if ys[i] == 0 {
			continue
		}
		f.Residual = math.Max(f.Residual, math.Abs(base+perX*xs[i]-ys[i])/math.Abs(ys[i]))
	}
	f.Bends = f.Residual > bendLimit
	f.WithinOK = s.Budget == 0 || f.AtDesign <= s.Budget
	return f
}

// Write prints the points, the fit and the value at the design size.
func (s Slope) Write(w io.Writer) error {
	f := s.Fit()
	verdict := "no bound"
	switch {
	case f.Undefined:
		verdict = "too few sizes"
	case s.Budget > 0 && f.WithinOK:
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
		f.Base, f.PerX, s.XName, 100*f.Residual, bendNote(f), s.At, f.AtDesign, s.Unit, verdict)
	return err
}

func bendNote(f Fit) string {
	if f.Bends {
		return " (bends)"
	}
	return ""
}
