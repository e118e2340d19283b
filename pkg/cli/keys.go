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

// keySource selects whether the keys of a command are read from standard input
// or generated.
type keySource struct{ stdin bool }

func (s *keySource) registerFlag(cmd *kingpin.CmdClause) {
	cmd.Flag("key-stdin", "Read the key from standard input; otherwise one is generated and printed once.").BoolVar(&s.stdin)
}

// keys reads the keys from standard input, one a line, or generates one.
// secrets are the generated keys, which have to be printed. It returns a usage
// error if there is no key.
func (c *CLI) keys(s keySource) (keys, secrets []string, err error) {
	if !s.stdin {
		key := rand.Text()
		return []string{key}, []string{key}, nil
	}
	scanner := bufio.NewScanner(c.In)
	for scanner.Scan() {
		if scanner.Text() != "" {
			keys = append(keys, scanner.Text())
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, nil, usageErrorf("standard input: %v", err)
	}
	if len(keys) == 0 {
		return nil, nil, usageErrorf("standard input contains no key")
	}
	return keys, nil, nil
}

// key does the same as keys, but returns a usage error for more than one key.
func (c *CLI) key(s keySource) (key string, secrets []string, err error) {
	keys, secrets, err := c.keys(s)
	if err != nil {
		return "", nil, err
	}
	if len(keys) > 1 {
		return "", nil, usageErrorf("standard input contains %d keys instead of one", len(keys))
	}
	return keys[0], secrets, nil
}

// workspaceFlags holds the arguments and flags of the command workspace set.
type workspaceFlags struct {
	name                 string
	requestsPerSecond    float64
	requestsPerSecondSet bool
	source               keySource
	addKey               bool
	replaceKeys          bool
}

func (c *CLI) addWorkspaceCommands() {
	parent := c.app.Command("workspace", "Workspaces (tenants) of the fleet.")
	var f workspaceFlags
	set := parent.Command("set", "Create or change a workspace. A new workspace gets a key; an existing one keeps its keys unless a key flag is given.")
	set.Arg("name", "Workspace.").Required().StringVar(&f.name)
	set.Flag("requests-per-second", "Request rate limit; 0 means no limit.").IsSetByUser(&f.requestsPerSecondSet).Float64Var(&f.requestsPerSecond)
	set.Flag("add-key", "Add a key and keep the others.").BoolVar(&f.addKey)
	set.Flag("replace-keys", "Replace all keys.").BoolVar(&f.replaceKeys)
	f.source.registerFlag(set)
	c.setAction(set, func(ctx context.Context) error { return c.setWorkspace(ctx, f) })
	c.setAction(parent.Command("list", "List all workspaces."), c.printWorkspaces)
	del := parent.Command("delete", "Delete a workspace.")
	name := del.Arg("name", "Workspace.").Required().String()
	c.setAction(del, func(ctx context.Context) error {
		return c.submitDeletion(ctx, catalog.WorkspaceChange(workspace.Workspace{Name: *name}))
	})
}

// setWorkspace changes the values given by flags and keeps the others. It
// submits the change against the revision that it has read, so that a
// concurrent change is not overwritten.
func (c *CLI) setWorkspace(ctx context.Context, f workspaceFlags) error {
	if f.addKey && f.replaceKeys {
		return usageErrorf("--add-key and --replace-keys exclude each other")
	}
	if _, _, err := c.operatorCredential(); err != nil {
		return err
	}
	snapshot, err := c.readCatalog(ctx)
	if err != nil {
		return err
	}
	w, exists := snapshot.Workspace(f.name)
	w.Name = f.name
	if f.requestsPerSecondSet {
		w.RequestsPerSecond = f.requestsPerSecond
	}
	var secrets []string
	if !exists || f.addKey || f.replaceKeys || f.source.stdin {
		var keys []string
		if keys, secrets, err = c.keys(f.source); err != nil {
			return err
		}
		w.KeyHashes = mergeKeyHashes(w, keys, f.addKey)
	}
	return c.submit(ctx, snapshot.Revision(), secrets, catalog.WorkspaceChange(w))
}

// mergeKeyHashes returns the hashes of keys, after the existing hashes of w if
// keepExisting is set.
func mergeKeyHashes(w workspace.Workspace, keys []string, keepExisting bool) [][]byte {
	var hashes [][]byte
	if keepExisting {
		hashes = slices.Clone(w.KeyHashes)
	}
	for _, key := range keys {
		hashes = append(hashes, workspace.HashKey(key))
	}
	return hashes
}

func (c *CLI) printWorkspaces(ctx context.Context) error {
	snapshot, err := c.readCatalog(ctx)
	if err != nil {
		return err
	}
	t := table{columns: []string{"name", "keys", "requests_per_second"}}
	for _, w := range snapshot.Workspaces() {
		t.addRow(w.Name, len(w.KeyHashes), w.RequestsPerSecond)
	}
	return c.print(t)
}

func (c *CLI) addCredentialCommands() {
	parent := c.app.Command("credential", "Credentials with which backend servers announce themselves.")
	c.addKeyedItemCommands(parent, "Server name, or a prefix that ends with *.", func(name string, hash []byte) catalogChange {
		return catalog.CredentialChange(catalog.Credential{Name: name, KeyHash: hash})
	}, func(snapshot *catalog.Catalog) (names []string) {
		for _, v := range snapshot.Credentials() {
			names = append(names, v.Name)
		}
		return names
	})
}

func (c *CLI) addOperatorCommands() {
	parent := c.app.Command("operator", "Operators of the fleet.")
	c.addKeyedItemCommands(parent, "Operator.", func(name string, hash []byte) catalogChange {
		return catalog.OperatorChange(catalog.Operator{Name: name, KeyHash: hash})
	}, func(snapshot *catalog.Catalog) (names []string) {
		for _, v := range snapshot.Operators() {
			names = append(names, v.Name)
		}
		return names
	})
}

// addKeyedItemCommands adds the commands set, list and delete for a kind of
// item that has a name and one key.
func (c *CLI) addKeyedItemCommands(parent *kingpin.CmdClause, nameHelp string, newChange func(string, []byte) catalogChange, listNames func(*catalog.Catalog) []string) {
	var source keySource
	set := parent.Command("set", "Create an entry or replace its key.")
	name := set.Arg("name", nameHelp).Required().String()
	source.registerFlag(set)
	c.setAction(set, func(ctx context.Context) error {
		key, secrets, err := c.key(source)
		if err != nil {
			return err
		}
		return c.submit(ctx, 0, secrets, newChange(*name, workspace.HashKey(key)))
	})
	c.setAction(parent.Command("list", "List all names."), func(ctx context.Context) error {
		snapshot, err := c.readCatalog(ctx)
		if err != nil {
			return err
		}
		t := table{columns: []string{"name"}}
		for _, n := range listNames(snapshot) {
			t.addRow(n)
		}
		return c.print(t)
	})
	del := parent.Command("delete", "Delete an entry.")
	deleted := del.Arg("name", nameHelp).Required().String()
	c.setAction(del, func(ctx context.Context) error { return c.submitDeletion(ctx, newChange(*deleted, nil)) })
}
