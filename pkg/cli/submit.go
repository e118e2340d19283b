package cli

import (
	"context"
	"fmt"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
)

// read returns the present catalog.
func (c *CLI) read(ctx context.Context) (*catalog.Catalog, error) {
	client, err := c.connect()
	if err != nil {
		return nil, err
	}
	s, err := client.Read(ctx)
	if err != nil {
		return nil, err
	}
	return catalog.Empty().WithChanges(s.GetRevision(), s.GetItems()), nil
}

// submit sends changes as one command and prints the outcome. expected is the
// revision that the changes were made from; --revision replaces it.
func (c *CLI) submit(ctx context.Context, expected uint64, secrets []string, changes ...*apiv1.Change) error {
	name, key, err := c.credential()
	if err != nil {
		return err
	}
	client, err := c.connect()
	if err != nil {
		return err
	}
	if c.revision != 0 {
		expected = c.revision
	}
	in := &apiv1.SubmitRequest{
		CommandId: c.id(), ExpectedRevision: expected, Changes: changes, OperatorName: name, OperatorKey: key,
	}
	out, err := client.Submit(ctx, in)
	if err != nil {
		c.unknownOutcome(expected, secrets)
		return err
	}
	if out.GetCode() != 0 {
		return c.refused(out)
	}
	return c.done(out, secrets)
}

// unknownOutcome tells how to resend a command that may have been applied.
func (c *CLI) unknownOutcome(expected uint64, secrets []string) {
	fmt.Fprintf(c.Err, "the outcome is not known; resend the same command with --command-id %s --revision %d\n", c.commandID, expected)
	for _, s := range secrets {
		fmt.Fprintf(c.Err, "key %s was sent; give it on standard input when you resend\n", s)
	}
}

// remove submits the deletion of an item.
func (c *CLI) remove(ctx context.Context, ch *apiv1.Change) error {
	ch.Delete = true
	return c.submit(ctx, 0, nil, ch)
}
