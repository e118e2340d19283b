package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const columnGap = 2

// table is a list of rows with named columns.
type table struct {
	columns []string
	rows    [][]any
}

func (t *table) add(values ...any) { t.rows = append(t.rows, values) }

// print writes the table, or a JSON list of objects.
func (c *CLI) print(t table) error {
	if c.output == "json" {
		list := make([]map[string]any, 0, len(t.rows))
		for _, row := range t.rows {
			list = append(list, object(t.columns, row))
		}
		return c.printJSON(list)
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.columns, "\t")))
	for _, row := range t.rows {
		cells := make([]string, len(row))
		for i, v := range row {
			cells[i] = fmt.Sprint(v)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

func object(columns []string, row []any) map[string]any {
	out := map[string]any{}
	for i, v := range row {
		if s, ok := v.(fmt.Stringer); ok {
			v = s.String()
		}
		out[columns[i]] = v
	}
	return out
}

func (c *CLI) printJSON(v any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// done prints the outcome of a command that was applied. secrets are printed
// once; the fleet keeps only their hashes.
func (c *CLI) done(out *apiv1.SubmitResponse, secrets []string) error {
	c.made = out.GetRevision()
	if c.output == "json" {
		v := map[string]any{"revision": out.GetRevision(), "command_id": c.commandID, "repeated": out.GetRepeatedCommand()}
		if out.GetMessage() != "" {
			v["message"] = out.GetMessage()
		}
		if len(secrets) > 0 {
			v["keys"] = secrets
		}
		return c.printJSON(v)
	}
	note := ""
	if out.GetRepeatedCommand() {
		note = " (applied earlier)"
	}
	fmt.Fprintf(c.Out, "revision %d%s\n", out.GetRevision(), note)
	if out.GetMessage() != "" {
		fmt.Fprintln(c.Out, out.GetMessage())
	}
	for _, s := range secrets {
		fmt.Fprintf(c.Out, "key %s (shown once, only its hash is stored)\n", s)
	}
	return nil
}

// refused turns a response with a code into an error and prints the present
// values of a lost race.
func (c *CLI) refused(out *apiv1.SubmitResponse) error {
	for _, ch := range out.GetPresent() {
		fmt.Fprintf(c.Err, "present: %s\n", presentText(ch))
	}
	return result.New(result.Code(out.GetCode()), "%s", out.GetMessage())
}

// presentText describes the present value of an item, without key hashes.
func presentText(ch *apiv1.Change) string {
	kind, name := catalog.ItemKey(ch)
	if ch.GetDelete() {
		return fmt.Sprintf("%s %s does not exist", kind, name)
	}
	switch item := ch.GetItem().(type) {
	case *apiv1.Change_Class:
		return fmt.Sprintf("%s %s: %v", kind, name, item.Class)
	case *apiv1.Change_Workspace:
		return fmt.Sprintf("%s %s: %d keys, %g requests/s", kind, name, len(item.Workspace.GetKeyHashes()), item.Workspace.GetRequestsPerSecond())
	case *apiv1.Change_DataCentre:
		return fmt.Sprintf("%s %s: out %v", kind, name, item.DataCentre.GetOut())
	}
	return fmt.Sprintf("%s %s exists", kind, name)
}
