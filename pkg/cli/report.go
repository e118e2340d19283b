package cli

import (
	"context"
	"os"

	"jackdawtrack.example/jackdawtrack/pkg/burn"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const pageFileMode = 0o644

func (c *CLI) addReportCommands() {
	parent := c.app.Command("report", "Reports over the routers named by --admin.")
	cmd := parent.Command("burn", "Error budget burn rates of classes and workspaces, with their causes.")
	page := cmd.Flag("page", "Also write the report with plots to this HTML file.").String()
	c.setAction(cmd, func(ctx context.Context) error { return c.printBurnReport(ctx, *page) })
}

func (c *CLI) printBurnReport(ctx context.Context, page string) error {
	if err := c.requireRouters(); err != nil {
		return err
	}
	merged, err := collectBurnReport(ctx, c.routerAddresses)
	if err != nil {
		return err
	}
	if page != "" {
		if err := writeBurnPage(page, merged); err != nil {
			return err
		}
	}
	if c.outputFormat == "json" {
		return c.printJSON(merged)
	}
	return merged.WriteTable(c.Out)
}

// collectBurnReport merges the burn reports of all routers that respond and
// lists the others as sources with an error. It fails if no router responds.
func collectBurnReport(ctx context.Context, routers []string) (*burn.Report, error) {
	var reports []*burn.Report
	var missing []burn.Source
	var lastErr error
	for _, response := range queryRouters[burn.Report](ctx, routers, "/v1/admin/burn") {
		if response.err != nil {
			lastErr = response.err
			missing = append(missing, burn.Source{Router: response.address, Error: response.err.Error()})
			continue
		}
		reports = append(reports, &response.value)
	}
	if len(reports) == 0 {
		return nil, lastErr
	}
	merged, err := burn.Merge(reports)
	if err != nil {
		return nil, err
	}
	merged.Sources = append(merged.Sources, missing...)
	return merged, nil
}

func writeBurnPage(path string, report *burn.Report) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, pageFileMode)
	if err != nil {
		return usageErrorf("report page: %v", err)
	}
	if err := report.WritePage(f); err != nil {
		f.Close()
		return result.Wrap(result.InvalidCommand, err, "cannot write report page %s", path)
	}
	return f.Close()
}
