// Package cli is the command line of operators: it turns commands into calls
// of the control hosts and results into text and exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1 // the fleet refused the command
	ExitUsage       = 2 // the command line or a local file is not valid
	ExitUnreachable = 3 // no control host or router answered, or its answer is not known
)

const (
	defaultControl = "127.0.0.1:7400"
	defaultTimeout = 10 * time.Second
	keyFileOthers  = 0o077
	maxKeyBytes    = 1 << 10
)

// Streams are the standard streams of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// CLI is one run of the command line.
type CLI struct {
	Streams
	app *kingpin.Application
	ctx context.Context

	control   []string
	routers   []string // admin addresses
	operator  string
	keyFile   string
	timeout   time.Duration
	output    string
	revision  uint64
	commandID string
	made      uint64 // revision that this command made
	tls       controlclient.TLSFiles

	client *controlclient.Client
}

// usageError is a fault of the command line or of a local file.
type usageError struct{ error }

func usage(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// exit ends a run that has printed its help or version.
type exit struct{ code int }

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams, version string) (code int) {
	c := &CLI{Streams: streams, ctx: ctx}
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exit:
			code = e.code
		default:
			panic(e)
		}
	}()
	c.build(version)
	_, err := c.app.Parse(args)
	if c.client != nil {
		c.client.Close()
	}
	return c.report(err)
}

// report prints an error and returns the exit code for it.
func (c *CLI) report(err error) int {
	var u usageError
	var r *result.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &u):
		fmt.Fprintf(c.Err, "jackdawctl: %v\n", u.error)
		return ExitUsage
	case !errors.As(err, &r):
		fmt.Fprintf(c.Err, "jackdawctl: %v; try --help\n", err)
		return ExitUsage
	}
	fmt.Fprintf(c.Err, "jackdawctl: %v\n", err)
	if entry, ok := result.Lookup(r.Code); ok {
		fmt.Fprintf(c.Err, "next: %s\n", entry.Help)
	}
	switch r.Code {
	case result.NoQuorum, result.NotLeader, result.ControlUnavailable:
		return ExitUnreachable
	case result.InvalidSettings:
		return ExitUsage
	}
	return ExitRefused
}

func (c *CLI) build(version string) {
	c.app = kingpin.New("jackdawctl", "Operates a jackdawtrack fleet.")
	c.app.Version(version)
	c.app.UsageWriter(c.Out)
	c.app.ErrorWriter(c.Err)
	c.app.Terminate(func(code int) { panic(exit{code}) })
	c.app.Flag("control", "Control host, IP and port; may be repeated.").Envar("JACKDAWTRACK_CONTROL").
		Default(defaultControl).StringsVar(&c.control)
	c.app.Flag("admin", "Admin address of a router, IP and port; may be repeated.").Envar("JACKDAWTRACK_ADMIN").StringsVar(&c.routers)
	c.app.Flag("operator", "Name of the operator.").Envar("JACKDAWTRACK_OPERATOR").StringVar(&c.operator)
	c.app.Flag("key-file", "File with the operator's key, mode 0600.").Envar("JACKDAWTRACK_KEY_FILE").StringVar(&c.keyFile)
	c.app.Flag("timeout", "Longest time for the command.").Default(defaultTimeout.String()).DurationVar(&c.timeout)
	c.app.Flag("output", "table or json.").Default("table").EnumVar(&c.output, "table", "json")
	c.app.Flag("revision", "Refuse the command unless this is the present revision; 0 accepts any.").Uint64Var(&c.revision)
	c.app.Flag("command-id", "Id of the command, to resend one whose answer was lost.").StringVar(&c.commandID)
	c.app.Flag("tls-certificate", "Client certificate (PEM).").StringVar(&c.tls.Certificate)
	c.app.Flag("tls-key", "Key of the client certificate (PEM).").StringVar(&c.tls.Key)
	c.app.Flag("tls-client-ca", "Certificate authority of the fleet (PEM).").StringVar(&c.tls.ClientCA)
	c.addClass()
	c.addWorkspace()
	c.addCredential()
	c.addOperator()
	c.addDataCentre()
	c.addServer()
	c.addMember()
	c.action(c.app.Command("status", "Show the control hosts and the routers named by --admin."), c.status)
	c.addWatch()
	c.addWhy()
	c.addReport()
	c.addCompletion()
}

// action runs f within the timeout when the command is chosen.
func (c *CLI) action(cmd *kingpin.CmdClause, f func(context.Context) error) {
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
		defer cancel()
		return f(ctx)
	})
}

// connect returns the client of the control hosts.
func (c *CLI) connect() (*controlclient.Client, error) {
	if c.client != nil {
		return c.client, nil
	}
	if err := c.tls.Validate(); err != nil {
		return nil, err
	}
	options, err := c.tls.DialOptions()
	if err != nil {
		return nil, err
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	c.client, err = controlclient.New(controlclient.Config{
		Addresses: c.control, DialOptions: options, Logger: logrus.NewEntry(quiet),
	})
	return c.client, err
}

// credential returns the operator's name and key.
func (c *CLI) credential() (name, key string, err error) {
	if c.operator == "" || c.keyFile == "" {
		return "", "", usage("this command needs --operator and --key-file")
	}
	f, err := os.Open(c.keyFile)
	if err != nil {
		return "", "", usage("key file: %v", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "", "", usage("key file: %v", err)
	}
	if info.Mode().Perm()&keyFileOthers != 0 {
		return "", "", usage("key file %s has mode %o: use 0600", c.keyFile, info.Mode().Perm())
	}
	text, err := io.ReadAll(io.LimitReader(f, maxKeyBytes))
	if err != nil {
		return "", "", usage("key file: %v", err)
	}
	return c.operator, strings.TrimSpace(string(text)), nil
}

// id returns the id of this command.
func (c *CLI) id() string {
	if c.commandID == "" {
		c.commandID = uuid.NewString()
	}
	return c.commandID
}

func (c *CLI) addCompletion() {
	templates := map[string]string{"bash": kingpin.BashCompletionTemplate, "zsh": kingpin.ZshCompletionTemplate}
	cmd := c.app.Command("completion", "Print the completion script of a shell.")
	shell := cmd.Arg("shell", "bash or zsh.").Required().Enum("bash", "zsh")
	c.action(cmd, func(context.Context) error {
		c.app.UsageTemplate(templates[*shell]).Usage(nil)
		return nil
	})
}
