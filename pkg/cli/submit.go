package cli

import (
	"context"
	"fmt"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// readCatalog returns the present catalog.
func (c *CLI) readCatalog(ctx context.Context) (*catalog.Catalog, error) {
	client, err := c.controlClient()
	if err != nil {
		return nil, err
	}
	s, err := client.Read(ctx)
	if err != nil {
		return nil, err
	}
	return catalog.Empty().WithChanges(s.GetRevision(), s.GetItems()), nil
}

// maxRevisionConflicts bounds the attempts at a command that comes after another one each time.
const maxRevisionConflicts = 5

// submit sends the changes as one command and prints the result. expected is
// the catalog revision on which the changes are based, 0 for the present one; --revision
// overrides it. A command that is resent by its id is sent as it was.
//
// A command always names a revision: one that is held up on its way, while its operator gives
// it up and sends another, must not undo that one.
func (c *CLI) submit(ctx context.Context, expected uint64, secrets []string, changes ...*apiv1.Change) error {
	if expected != 0 || c.expectedRevision != 0 || c.commandID != "" {
		return c.submitAt(ctx, expected, secrets, changes...)
	}
	if _, _, err := c.operatorCredential(); err != nil {
		return err
	}
	for n := 1; ; n++ {
		present, err := c.readCatalog(ctx)
		if err != nil {
			return err
		}
		err = c.submitAt(ctx, present.Revision(), secrets, changes...)
		if code, _ := result.CodeOf(err); code != result.RevisionConflict || n == maxRevisionConflicts {
			return err
		}
		c.commandID = "" // the command was refused, this is another one
	}
}

// submitAt sends the changes as one command for the revision.
func (c *CLI) submitAt(ctx context.Context, expected uint64, secrets []string, changes ...*apiv1.Change) error {
	name, key, err := c.operatorCredential()
	if err != nil {
		return err
	}
	client, err := c.controlClient()
	if err != nil {
		return err
	}
	if c.expectedRevision != 0 {
		expected = c.expectedRevision
	}
	request := &apiv1.SubmitRequest{
		CommandId: c.ensureCommandID(), ExpectedRevision: expected, Changes: changes, OperatorName: name, OperatorKey: key,
	}
	response, err := client.Submit(ctx, request)
	if err != nil {
		c.printResendHint(expected, secrets)
		return err
	}
	if response.GetCode() != 0 {
		return c.refusalError(response)
	}
	return c.printApplied(response, secrets)
}

// printResendHint prints how to resend a command whose outcome is unknown.
func (c *CLI) printResendHint(expected uint64, secrets []string) {
	fmt.Fprintf(c.Err, "the outcome is unknown; resend the same command with --command-id %s --revision %d\n", c.commandID, expected)
	for _, s := range secrets {
		fmt.Fprintf(c.Err, "key %s was sent; give it on standard input when you resend\n", s)
	}
}

// submitDeletion deletes the item named by ch.
func (c *CLI) submitDeletion(ctx context.Context, ch *apiv1.Change) error {
	ch.Delete = true
	return c.submit(ctx, 0, nil, ch)
}
