package cli

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// memberRetryInterval is the time between two attempts at a membership change
// that waits for a pending change or for a learner to catch up.
const memberRetryInterval = 500 * time.Millisecond

func (c *CLI) addMemberCommands() {
	parent := c.app.Command("member", "Control hosts.")
	add := parent.Command("add", "Add a control host as a non-voting learner.")
	added := addMemberArgs(add, true)
	c.setAction(add, func(ctx context.Context) error {
		return c.changeMember(ctx, apiv1.MemberAction_MEMBER_ADD_LEARNER, added)
	})
	promote := parent.Command("promote", "Make a learner that has caught up a voter.")
	promoted := addMemberArgs(promote, false)
	c.setAction(promote, func(ctx context.Context) error {
		return c.changeMember(ctx, apiv1.MemberAction_MEMBER_PROMOTE, promoted)
	})
	remove := parent.Command("remove", "Remove a control host.")
	removed := addMemberArgs(remove, false)
	c.setAction(remove, func(ctx context.Context) error { return c.changeMember(ctx, apiv1.MemberAction_MEMBER_REMOVE, removed) })
	c.setAction(parent.Command("list", "List the control hosts."), c.printMembers)
	c.addReplaceCommand(parent.Command("replace", "Replace a control host with a new one; run the command again after a failure."))
}

// addMemberArgs adds the arguments that name a control host to cmd.
func addMemberArgs(cmd *kingpin.CmdClause, withAddress bool) *apiv1.Member {
	m := &apiv1.Member{}
	cmd.Arg("id", "Id of the control host.").Required().Uint64Var(&m.Id)
	if withAddress {
		cmd.Arg("address", "IP and port at which the other control hosts reach it.").Required().StringVar(&m.Address)
	}
	return m
}

func (c *CLI) addReplaceCommand(cmd *kingpin.CmdClause) {
	old := &apiv1.Member{}
	cmd.Arg("old", "Id of the failed control host.").Required().Uint64Var(&old.Id)
	replacement := addMemberArgs(cmd, true)
	c.setAction(cmd, func(ctx context.Context) error {
		if old.Id == replacement.Id {
			return usageErrorf("the new control host needs an id of its own")
		}
		if err := c.changeMember(ctx, apiv1.MemberAction_MEMBER_ADD_LEARNER, replacement); err != nil {
			return err
		}
		if err := c.changeMember(ctx, apiv1.MemberAction_MEMBER_PROMOTE, replacement); err != nil {
			return err
		}
		return c.changeMember(ctx, apiv1.MemberAction_MEMBER_REMOVE, old)
	})
}

// changeMember retries the change while another change is pending or the
// learner has not caught up, until ctx ends.
func (c *CLI) changeMember(ctx context.Context, action apiv1.MemberAction, m *apiv1.Member) error {
	for {
		err := c.changeMemberOnce(ctx, action, m)
		code, _ := result.CodeOf(err)
		if code != result.NotCaughtUp && code != result.MemberPending {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(memberRetryInterval):
		}
	}
}

func (c *CLI) changeMemberOnce(ctx context.Context, action apiv1.MemberAction, m *apiv1.Member) error {
	name, key, err := c.operatorCredential()
	if err != nil {
		return err
	}
	client, err := c.controlClient()
	if err != nil {
		return err
	}
	response, err := client.ChangeMember(ctx, &apiv1.ChangeMemberRequest{
		CommandId: c.ensureCommandID(), Action: action, Member: m, OperatorName: name, OperatorKey: key,
	})
	if err != nil {
		return err
	}
	if response.GetCode() != 0 {
		return c.refusalError(response)
	}
	return c.printApplied(response, nil)
}

func (c *CLI) printMembers(ctx context.Context) error {
	client, err := c.controlClient()
	if err != nil {
		return err
	}
	s, err := client.Status(ctx, "")
	if err != nil {
		return err
	}
	t := table{columns: []string{"id", "address", "voter", "leader", "match"}}
	for _, m := range s.GetMembers() {
		t.addRow(m.GetId(), m.GetAddress(), m.GetVoter(), m.GetId() == s.GetLeader(), m.GetMatch())
	}
	return c.print(t)
}

// printStatus prints the status of each control host of --control and each
// router of --admin. It fails if no control host responds and no router is named.
func (c *CLI) printStatus(ctx context.Context) error {
	client, err := c.controlClient()
	if err != nil {
		return err
	}
	t := table{columns: []string{"address", "id", "leader", "term", "commit", "applied", "revision", "records", "error"}}
	reachable := 0
	for _, address := range c.controlAddresses {
		s, statusErr := client.Status(ctx, address)
		if statusErr != nil {
			err = statusErr
			t.addRow(address, 0, 0, 0, 0, 0, 0, 0, statusErr.Error())
			continue
		}
		reachable++
		t.addRow(address, s.GetId(), s.GetLeader(), s.GetTerm(), s.GetCommit(), s.GetApplied(), s.GetRevision(), s.GetIdempotencyRecords(), "")
	}
	if reachable == 0 && len(c.routerAddresses) == 0 {
		return err
	}
	if err := c.print(t); err != nil || len(c.routerAddresses) == 0 {
		return err
	}
	return c.printRouterStatus(ctx)
}
