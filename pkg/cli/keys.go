package cli

import (
	"bufio"
	"context"
	"crypto/rand"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// keySource says where the keys of a command come from.
type keySource struct{ stdin bool }

func (s *keySource) flag(cmd *kingpin.CmdClause) {
	cmd.Flag("key-stdin", "Read the key from standard input; otherwise one is generated and printed once.").BoolVar(&s.stdin)
}

// keys returns at least one key, and those to be printed.
func (c *CLI) keys(s keySource) (keys, secrets []string, err error) {
	if !s.stdin {
		key := rand.Text()
		return []string{key}, []string{key}, nil
	}
	lines := bufio.NewScanner(c.In)
	for lines.Scan() {
		if lines.Text() != "" {
			keys = append(keys, lines.Text())
		}
	}
	if err := lines.Err(); err != nil {
		return nil, nil, usage("standard input: %v", err)
	}
	if len(keys) == 0 {
		return nil, nil, usage("standard input holds no key")
	}
	return keys, nil, nil
}

// key returns exactly one key.
func (c *CLI) key(s keySource) (key string, secrets []string, err error) {
	keys, secrets, err := c.keys(s)
	if err != nil {
		return "", nil, err
	}
	if len(keys) > 1 {
		return "", nil, usage("standard input holds %d keys instead of one", len(keys))
	}
	return keys[0], secrets, nil
}

// workspaceFlags are the choices of workspace set.
type workspaceFlags struct {
	name        string
	rate        float64
	rateSet     bool
	source      keySource
	addKey      bool
	replaceKeys bool
}

func (c *CLI) addWorkspace() {
	parent := c.app.Command("workspace", "Tenants of the fleet.")
	var f workspaceFlags
	set := parent.Command("set", "Create or change a workspace. A new one gets a key; an existing one keeps its keys unless told otherwise.")
	set.Arg("name", "Workspace.").Required().StringVar(&f.name)
	set.Flag("requests-per-second", "Request rate limit, 0 for none.").IsSetByUser(&f.rateSet).Float64Var(&f.rate)
	set.Flag("add-key", "Add a key and keep the others.").BoolVar(&f.addKey)
	set.Flag("replace-keys", "Replace all keys.").BoolVar(&f.replaceKeys)
	f.source.flag(set)
	c.action(set, func(ctx context.Context) error { return c.setWorkspace(ctx, f) })
	c.action(parent.Command("list", "List all workspaces."), c.listWorkspaces)
	del := parent.Command("delete", "Delete a workspace.")
	name := del.Arg("name", "Workspace.").Required().String()
	c.action(del, func(ctx context.Context) error {
		return c.remove(ctx, catalog.WorkspaceChange(workspace.Workspace{Name: *name}))
	})
}

// setWorkspace changes what the operator named and keeps the rest. It expects
// the revision that it has read, so a change in between is not overwritten.
func (c *CLI) setWorkspace(ctx context.Context, f workspaceFlags) error {
	if f.addKey && f.replaceKeys {
		return usage("--add-key and --replace-keys exclude each other")
	}
	if _, _, err := c.credential(); err != nil {
		return err
	}
	now, err := c.read(ctx)
	if err != nil {
		return err
	}
	w, exists := now.Workspace(f.name)
	w.Name = f.name
	if f.rateSet {
		w.RequestsPerSecond = f.rate
	}
	var secrets []string
	if !exists || f.addKey || f.replaceKeys || f.source.stdin {
		var keys []string
		if keys, secrets, err = c.keys(f.source); err != nil {
			return err
		}
		w.KeyHashes = hashes(w, keys, f.addKey)
	}
	return c.submit(ctx, now.Revision(), secrets, catalog.WorkspaceChange(w))
}

func hashes(w workspace.Workspace, keys []string, add bool) [][]byte {
	var out [][]byte
	if add {
		out = slices.Clone(w.KeyHashes)
	}
	for _, key := range keys {
		out = append(out, workspace.HashKey(key))
	}
	return out
}

func (c *CLI) listWorkspaces(ctx context.Context) error {
	now, err := c.read(ctx)
	if err != nil {
		return err
	}
	t := table{columns: []string{"name", "keys", "requests_per_second"}}
	for _, w := range now.Workspaces() {
		t.add(w.Name, len(w.KeyHashes), w.RequestsPerSecond)
	}
	return c.print(t)
}

func (c *CLI) addCredential() {
	parent := c.app.Command("credential", "Credentials with which backend servers announce themselves.")
	c.addKeyed(parent, "Server name, or a prefix that ends with *.", func(name string, hash []byte) catalogChange {
		return catalog.CredentialChange(catalog.Credential{Name: name, KeyHash: hash})
	}, func(now *catalog.Catalog) (names []string) {
		for _, v := range now.Credentials() {
			names = append(names, v.Name)
		}
		return names
	})
}

func (c *CLI) addOperator() {
	parent := c.app.Command("operator", "Operators of the fleet.")
	c.addKeyed(parent, "Operator.", func(name string, hash []byte) catalogChange {
		return catalog.OperatorChange(catalog.Operator{Name: name, KeyHash: hash})
	}, func(now *catalog.Catalog) (names []string) {
		for _, v := range now.Operators() {
			names = append(names, v.Name)
		}
		return names
	})
}

// addKeyed adds set, list and delete for items with one key.
func (c *CLI) addKeyed(parent *kingpin.CmdClause, help string, change func(string, []byte) catalogChange, list func(*catalog.Catalog) []string) {
	var source keySource
	set := parent.Command("set", "Create one or replace its key.")
	name := set.Arg("name", help).Required().String()
	source.flag(set)
	c.action(set, func(ctx context.Context) error {
		key, secrets, err := c.key(source)
		if err != nil {
			return err
		}
		return c.submit(ctx, 0, secrets, change(*name, workspace.HashKey(key)))
	})
	c.action(parent.Command("list", "List all names."), func(ctx context.Context) error {
		now, err := c.read(ctx)
		if err != nil {
			return err
		}
		t := table{columns: []string{"name"}}
		for _, n := range list(now) {
			t.add(n)
		}
		return c.print(t)
	})
	del := parent.Command("delete", "Delete one.")
	deleted := del.Arg("name", help).Required().String()
	c.action(del, func(ctx context.Context) error { return c.remove(ctx, change(*deleted, nil)) })
}
