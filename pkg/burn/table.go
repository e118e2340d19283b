package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// fastBurnRate is the burn rate that uses up a month's error budget in about
// two days; higher rates are marked in the table.
const fastBurnRate = 14.4

// WriteTable writes the report as a table with one line per class, then one per
// workspace that missed a target, then the missing data.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprint(t, "CLASS\tWORKSPACE\tTARGET\tOBJECTIVE")
	for _, length := range Windows {
		fmt.Fprintf(t, "\tMET %s\tBURN %s", formatDuration(length), formatDuration(length))
	}
	fmt.Fprint(t, "\tP95 FIRST BYTE\tMAIN CAUSE\n")
	for _, row := range r.ByClass() {
		row.Workspace = "all"
		r.writeRow(t, row)
	}
	for _, row := range r.Rows {
		if row.Counts[len(Windows)-1].MissedTotal() > 0 {
			r.writeRow(t, row)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeMissingData(w)
}

func (r *Report) writeRow(w io.Writer, row Row) {
	target := r.Targets[row.Class]
	fmt.Fprintf(w, "%s\t%s\t%s\t%.3g", row.Class, row.Workspace, target, target.Objective)
	for _, c := range row.Counts {
		suffix := ""
		if c.BurnRate(target.Objective) > fastBurnRate {
			suffix = "!"
		}
		fmt.Fprintf(w, "\t%s\t%.2f%s", formatPercent(c), c.BurnRate(target.Objective), suffix)
	}
	fmt.Fprintf(w, "\t%s\t%s\n", r.firstByteP95(row), row.Counts[len(Windows)-1].MainCause())
}

func (r *Report) firstByteP95(row Row) string {
	if row.Workspace != "all" {
		return ""
	}
	v, ok := r.FirstByteQuantile(row.Class, len(Windows)-1, 0.95)
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.0fms", v)
}

// writeMissingData lists routers that did not report or have no data for a part
// of a window.
func (r *Report) writeMissingData(w io.Writer) error {
	for _, s := range r.Sources {
		if s.Error != "" {
			if _, err := fmt.Fprintf(w, "missing: router %s: %s\n", s.Router, s.Error); err != nil {
				return err
			}
			continue
		}
		for _, length := range Windows {
			covered := r.Coverage(s, length)
			if covered >= 1 {
				continue
			}
			if _, err := fmt.Fprintf(w, "partial: router %s covers %.0f%% of %s (data since %s)\n",
				s.Router, 100*covered, formatDuration(length), s.Since.UTC().Format(time.RFC3339)); err != nil {
				return err
			}
			break
		}
	}
	return nil
}

// String returns the target in short form, for example "first 340ms".
func (t Target) String() string {
	switch {
	case t.FirstTokenMS > 0 && t.TokenIntervalMS > 0:
		return fmt.Sprintf("first %dms, token %dms", t.FirstTokenMS, t.TokenIntervalMS)
	case t.FirstTokenMS > 0:
		return fmt.Sprintf("first %dms", t.FirstTokenMS)
	case t.AnswerMS > 0:
		return fmt.Sprintf("answer %dms", t.AnswerMS)
	default:
		return "none"
	}
}

func formatPercent(c Count) string {
	if c.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*c.MetRatio())
}

func formatDuration(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
