package cli

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// memberPause is the time between two attempts at a change that has to wait
// for another one or for a learner to catch up.
const memberPause = 500 * time.Millisecond

func (c *CLI) addMember() {
	parent := c.app.Command("member", "Control hosts.")
	add := parent.Command("add", "Add a control host as a learner without a vote.")
	added := memberArgs(add, true)
	c.action(add, func(ctx context.Context) error {
		return c.changeMember(ctx, apiv1.MemberAction_MEMBER_ADD_LEARNER, added)
	})
	promote := parent.Command("promote", "Give a learner that has caught up its vote.")
	promoted := memberArgs(promote, false)
	c.action(promote, func(ctx context.Context) error {
		return c.changeMember(ctx, apiv1.MemberAction_MEMBER_PROMOTE, promoted)
	})
	remove := parent.Command("remove", "Remove a control host.")
	removed := memberArgs(remove, false)
	c.action(remove, func(ctx context.Context) error { return c.changeMember(ctx, apiv1.MemberAction_MEMBER_REMOVE, removed) })
	c.action(parent.Command("list", "List the control hosts."), c.listMembers)
	c.addReplace(parent.Command("replace", "Replace a control host by a new one; repeat it after a failure."))
}

func memberArgs(cmd *kingpin.CmdClause, address bool) *apiv1.Member {
	m := &apiv1.Member{}
	cmd.Arg("id", "Id of the control host.").Required().Uint64Var(&m.Id)
	if address {
		cmd.Arg("address", "IP and port at which the other control hosts reach it.").Required().StringVar(&m.Address)
	}
	return m
}

func (c *CLI) addReplace(cmd *kingpin.CmdClause) {
	old := &apiv1.Member{}
	cmd.Arg("old", "Id of the control host that is gone.").Required().Uint64Var(&old.Id)
	next := memberArgs(cmd, true)
	c.action(cmd, func(ctx context.Context) error {
		if old.Id == next.Id {
			return usage("the new control host needs an id of its own")
		}
		if err := c.changeMember(ctx, apiv1.MemberAction_MEMBER_ADD_LEARNER, next); err != nil {
			return err
		}
		if err := c.changeMember(ctx, apiv1.MemberAction_MEMBER_PROMOTE, next); err != nil {
			return err
		}
		return c.changeMember(ctx, apiv1.MemberAction_MEMBER_REMOVE, old)
	})
}

// changeMember repeats the command until no other change is pending and the
// learner has caught up, or the time is over.
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
		case <-time.After(memberPause):
		}
	}
}

func (c *CLI) changeMemberOnce(ctx context.Context, action apiv1.MemberAction, m *apiv1.Member) error {
	name, key, err := c.credential()
	if err != nil {
		return err
	}
	client, err := c.connect()
	if err != nil {
		return err
	}
	out, err := client.ChangeMember(ctx, &apiv1.ChangeMemberRequest{
		CommandId: c.id(), Action: action, Member: m, OperatorName: name, OperatorKey: key,
	})
	if err != nil {
		return err
	}
	if out.GetCode() != 0 {
		return c.refused(out)
	}
	return c.done(out, nil)
}

func (c *CLI) listMembers(ctx context.Context) error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	s, err := client.Status(ctx, "")
	if err != nil {
		return err
	}
	t := table{columns: []string{"id", "address", "voter", "leader", "match"}}
	for _, m := range s.GetMembers() {
		t.add(m.GetId(), m.GetAddress(), m.GetVoter(), m.GetId() == s.GetLeader(), m.GetMatch())
	}
	return c.print(t)
}

// status asks each control host that the command line names.
func (c *CLI) status(ctx context.Context) error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	t := table{columns: []string{"address", "id", "leader", "term", "commit", "applied", "revision", "records", "error"}}
	answered := 0
	for _, address := range c.control {
		s, failed := client.Status(ctx, address)
		if failed != nil {
			err = failed
			t.add(address, 0, 0, 0, 0, 0, 0, 0, failed.Error())
			continue
		}
		answered++
		t.add(address, s.GetId(), s.GetLeader(), s.GetTerm(), s.GetCommit(), s.GetApplied(), s.GetRevision(), s.GetIdempotencyRecords(), "")
	}
	if answered == 0 && len(c.routers) == 0 {
		return err
	}
	if err := c.print(t); err != nil || len(c.routers) == 0 {
		return err
	}
	return c.fleetStatus(ctx)
}
