// Package cli implements jackdawctl, the operators' command line. It sends
// commands to the control hosts or routers and prints the results as tables or
// JSON.
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

// Exit codes of Run.
const (
	ExitOK          = 0
	ExitRefused     = 1 // the fleet refused the command
	ExitUsage       = 2 // the command line or a local file is invalid
	ExitUnreachable = 3 // no control host or router responded, or the outcome is unknown
)

const (
	defaultControlAddress = "127.0.0.1:7400"
	defaultTimeout        = 10 * time.Second
	groupAndOtherAccess   = 0o077 // permission bits that a key file must not have
	maxKeyBytes           = 1 << 10
)

// Streams are the standard streams of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// CLI holds the global flags and the control client of one command.
type CLI struct {
	Streams
	app *kingpin.Application
	ctx context.Context

	controlAddresses []string
	routerAddresses  []string // admin API
	operatorName     string
	keyFile          string
	timeout          time.Duration
	outputFormat     string
	expectedRevision uint64
	commandID        string
	appliedRevision  uint64 // catalog revision created by this command
	tlsFiles         controlclient.TLSFiles

	client *controlclient.Client
}

// usageError is an error in the command line or in a local file.
type usageError struct{ error }

func usageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// exitPanic carries the exit code out of kingpin after it has printed help or
// the version.
type exitPanic struct{ code int }

// Run executes one command line (args without the program name) and returns
// the exit code.
func Run(ctx context.Context, args []string, streams Streams, version string) (code int) {
	c := &CLI{Streams: streams, ctx: ctx}
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exitPanic:
			code = e.code
		default:
			panic(e)
		}
	}()
	c.buildApp(version)
	_, err := c.app.Parse(args)
	if c.client != nil {
		c.client.Close()
	}
	return c.reportError(err)
}

// reportError prints err with the recommended next step, if there is one, and
// returns the exit code for it.
func (c *CLI) reportError(err error) int {
	var usageErr usageError
	var resultErr *result.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usageErr):
		fmt.Fprintf(c.Err, "jackdawctl: %v\n", usageErr.error)
		return ExitUsage
	case !errors.As(err, &resultErr):
		fmt.Fprintf(c.Err, "jackdawctl: %v; try --help\n", err)
		return ExitUsage
	}
	fmt.Fprintf(c.Err, "jackdawctl: %v\n", err)
	if entry, ok := result.Lookup(resultErr.Code); ok {
		fmt.Fprintf(c.Err, "next: %s\n", entry.Help)
	}
	switch resultErr.Code {
	case result.NoQuorum, result.NotLeader, result.ControlUnavailable:
		return ExitUnreachable
	case result.InvalidSettings:
		return ExitUsage
	}
	return ExitRefused
}

func (c *CLI) buildApp(version string) {
	c.app = kingpin.New("jackdawctl", "Operates a jackdawtrack fleet.")
	c.app.Version(version)
	c.app.UsageWriter(c.Out)
	c.app.ErrorWriter(c.Err)
	c.app.Terminate(func(code int) { panic(exitPanic{code}) })
	c.app.Flag("control", "Control host, IP and port; may be repeated.").Envar("JACKDAWTRACK_CONTROL").
		Default(defaultControlAddress).StringsVar(&c.controlAddresses)
	c.app.Flag("admin", "Admin address of a router, IP and port; may be repeated.").Envar("JACKDAWTRACK_ADMIN").StringsVar(&c.routerAddresses)
	c.app.Flag("operator", "Name of the operator.").Envar("JACKDAWTRACK_OPERATOR").StringVar(&c.operatorName)
	c.app.Flag("key-file", "File with the operator's key, mode 0600.").Envar("JACKDAWTRACK_KEY_FILE").StringVar(&c.keyFile)
	c.app.Flag("timeout", "Timeout of the command.").Default(defaultTimeout.String()).DurationVar(&c.timeout)
	c.app.Flag("output", "table or json.").Default("table").EnumVar(&c.outputFormat, "table", "json")
	c.app.Flag("revision", "Refuse the command unless the catalog is at this revision; 0 is the present one, and with --command-id any.").Uint64Var(&c.expectedRevision)
	c.app.Flag("command-id", "Command id, to resend a command whose response was lost.").StringVar(&c.commandID)
	c.app.Flag("tls-certificate", "Client certificate (PEM).").StringVar(&c.tlsFiles.Certificate)
	c.app.Flag("tls-key", "Key of the client certificate (PEM).").StringVar(&c.tlsFiles.Key)
	c.app.Flag("tls-client-ca", "Certificate authority of the fleet (PEM).").StringVar(&c.tlsFiles.ClientCA)
	c.addClassCommands()
	c.addWorkspaceCommands()
	c.addCredentialCommands()
	c.addOperatorCommands()
	c.addDataCentreCommands()
	c.addServerCommands()
	c.addServiceCommands()
	c.addMemberCommands()
	c.setAction(c.app.Command("status", "Show the control hosts and the routers named by --admin."), c.printStatus)
	c.addWatchCommand()
	c.addWhyCommand()
	c.addReportCommands()
	c.addQuarantineCommands()
	c.addCompletionCommand()
}

// setAction makes cmd run f with the timeout of the --timeout flag.
func (c *CLI) setAction(cmd *kingpin.CmdClause, f func(context.Context) error) {
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
		defer cancel()
		return f(ctx)
	})
}

// controlClient returns the client for the control hosts, creating it on the
// first call.
func (c *CLI) controlClient() (*controlclient.Client, error) {
	if c.client != nil {
		return c.client, nil
	}
	if err := c.tlsFiles.Validate(); err != nil {
		return nil, err
	}
	options, err := c.tlsFiles.DialOptions()
	if err != nil {
		return nil, err
	}
	discardLogger := logrus.New()
	discardLogger.SetOutput(io.Discard)
	c.client, err = controlclient.New(controlclient.Config{
		Addresses: c.controlAddresses, DialOptions: options, Logger: logrus.NewEntry(discardLogger),
	})
	return c.client, err
}

// operatorCredential returns the operator's name and the key from the key file.
// It refuses a key file that group or others can access.
func (c *CLI) operatorCredential() (name, key string, err error) {
	if c.operatorName == "" || c.keyFile == "" {
		return "", "", usageErrorf("this command requires --operator and --key-file")
	}
	f, err := os.Open(c.keyFile)
	if err != nil {
		return "", "", usageErrorf("key file: %v", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "", "", usageErrorf("key file: %v", err)
	}
	if info.Mode().Perm()&groupAndOtherAccess != 0 {
		return "", "", usageErrorf("key file %s has mode %o: use 0600", c.keyFile, info.Mode().Perm())
	}
	text, err := io.ReadAll(io.LimitReader(f, maxKeyBytes))
	if err != nil {
		return "", "", usageErrorf("key file: %v", err)
	}
	return c.operatorName, strings.TrimSpace(string(text)), nil
}

// ensureCommandID returns the id of this command and generates one if the
// command line gave none.
func (c *CLI) ensureCommandID() string {
	if c.commandID == "" {
		c.commandID = uuid.NewString()
	}
	return c.commandID
}

func (c *CLI) addCompletionCommand() {
	templates := map[string]string{"bash": kingpin.BashCompletionTemplate, "zsh": kingpin.ZshCompletionTemplate}
	cmd := c.app.Command("completion", "Print the completion script of a shell.")
	shell := cmd.Arg("shell", "bash or zsh.").Required().Enum("bash", "zsh")
	c.setAction(cmd, func(context.Context) error {
		c.app.UsageTemplate(templates[*shell]).Usage(nil)
		return nil
	})
}
