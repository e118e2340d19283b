package cli

import (
	"context"
	"os"

	"jackdawtrack.example/jackdawtrack/pkg/burn"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const pageMode = 0o644

func (c *CLI) addReport() {
	parent := c.app.Command("report", "Reports over the routers named by --admin.")
	cmd := parent.Command("burn", "How fast classes and workspaces use their error budgets, and why.")
	page := cmd.Flag("page", "Also write the report with plots as one HTML page to this file.").String()
	c.action(cmd, func(ctx context.Context) error { return c.burn(ctx, *page) })
}

func (c *CLI) burn(ctx context.Context, page string) error {
	if err := c.needRouters(); err != nil {
		return err
	}
	sum, err := collectBurn(ctx, c.routers)
	if err != nil {
		return err
	}
	if page != "" {
		if err := writePage(page, sum); err != nil {
			return err
		}
	}
	if c.output == "json" {
		return c.printJSON(sum)
	}
	return sum.WriteTable(c.Out)
}

// collectBurn merges the reports of all routers that answer and names the
// others. It fails only when none answers.
func collectBurn(ctx context.Context, routers []string) (*burn.Report, error) {
	var reports []*burn.Report
	var missing []burn.Source
	var last error
	for _, f := range fetchAll[burn.Report](ctx, routers, "/v1/admin/burn") {
		if f.err != nil {
			last = f.err
			missing = append(missing, burn.Source{Router: f.address, Error: f.err.Error()})
			continue
		}
		reports = append(reports, &f.value)
	}
	if len(reports) == 0 {
		return nil, last
	}
	sum, err := burn.Merge(reports)
	if err != nil {
		return nil, err
	}
	sum.Sources = append(sum.Sources, missing...)
	return sum, nil
}

func writePage(path string, sum *burn.Report) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, pageMode)
	if err != nil {
		return usage("page: %v", err)
	}
	if err := sum.WritePage(f); err != nil {
		f.Close()
		return result.Wrap(result.InvalidCommand, err, "page %s", path)
	}
	return f.Close()
}
