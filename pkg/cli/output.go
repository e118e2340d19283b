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

const columnPadding = 2 // spaces

// table is a list of rows with named columns.
type table struct {
	columns []string
	rows    [][]any
}

func (t *table) addRow(values ...any) { t.rows = append(t.rows, values) }

// print writes t as aligned text, or as a JSON list of objects with --output
// json.
func (c *CLI) print(t table) error {
	if c.outputFormat == "json" {
		list := make([]map[string]any, 0, len(t.rows))
		for _, row := range t.rows {
			list = append(list, rowToMap(t.columns, row))
		}
		return c.printJSON(list)
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, columnPadding, ' ', 0)
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

func rowToMap(columns []string, row []any) map[string]any {
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

// printApplied prints the result of a command that was applied, with the
// generated keys (secrets). The fleet stores only the hashes of the keys.
func (c *CLI) printApplied(response *apiv1.SubmitResponse, secrets []string) error {
	c.appliedRevision = response.GetRevision()
	if c.outputFormat == "json" {
		v := map[string]any{"revision": response.GetRevision(), "command_id": c.commandID, "repeated": response.GetRepeatedCommand()}
		if response.GetMessage() != "" {
			v["message"] = response.GetMessage()
		}
		if len(secrets) > 0 {
			v["keys"] = secrets
		}
		return c.printJSON(v)
	}
	note := ""
	if response.GetRepeatedCommand() {
		note = " (applied earlier)"
	}
	fmt.Fprintf(c.Out, "revision %d%s\n", response.GetRevision(), note)
	if response.GetMessage() != "" {
		fmt.Fprintln(c.Out, response.GetMessage())
	}
	for _, s := range secrets {
		fmt.Fprintf(c.Out, "key %s (shown once, only its hash is stored)\n", s)
	}
	return nil
}

// refusalError converts a response with a result code into an error. After a
// revision conflict it prints the present values of the items.
func (c *CLI) refusalError(response *apiv1.SubmitResponse) error {
	for _, ch := range response.GetPresent() {
		fmt.Fprintf(c.Err, "present: %s\n", describePresentItem(ch))
	}
	return result.New(result.Code(response.GetCode()), "%s", response.GetMessage())
}

// describePresentItem formats the present value of an item without key hashes.
func describePresentItem(ch *apiv1.Change) string {
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
	case *apiv1.Change_Service:
		return fmt.Sprintf("%s %s: software versions %s", kind, name, catalog.ServiceFromMessage(item.Service).Versions)
	}
	return fmt.Sprintf("%s %s exists", kind, name)
}
