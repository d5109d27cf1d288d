package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"

	"jasminelane.example/lane/keys"
)

// Exit codes that scripts can rely on.
const (
	ExitOK          = 0
	ExitFailed      = 1 // anything else
	ExitUsage       = 2 // wrong arguments
	ExitRefused     = 3 // refused; the call was not carried out
	ExitUnknown     = 4 // unknown outcome: the call may have been carried out
	ExitUnreachable = 5 // no response from the instance or the log, and nothing was changed
	ExitExpectation = 6 // a replay or demo did not end as its input expects
	ExitInvalid     = 7 // a checked file is unreadable or not valid
)

// Tool runs one subcommand of the command line tool.
type Tool struct {
	Out io.Writer
	Err io.Writer
	Env func(string) string // looks up LANE_OPERATOR, LANE_CALLER, LANE_TOKEN and the others; nil finds none
}

// command describes a subcommand. Its run function defines the flags of the
// subcommand on the flag set that it receives.
type command struct {
	name    string
	args    string
	short   string
	example string
	run     func(t *Tool, f *flags) error
}

// flags holds a subcommand's flag set, its arguments and the values of the flags
// that all subcommands share.
type flags struct {
	*flag.FlagSet
	ctx      context.Context
	args     []string
	operator string
	caller   string
	token    string
	output   string
	keys     keys.Reloader
}

// UsageError reports invalid flags or arguments.
type UsageError struct{ Reason string }

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

// exitCodeKey is the merry key of the exit code that an error carries.
type exitCodeKey struct{}

// withExit attaches an exit code to the error.
func withExit(err error, code int) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(exitCodeKey{}, code))
}

// Main runs the subcommand that the arguments name and returns the exit code.
func (t *Tool) Main(ctx context.Context, args []string) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "help" || args[0] == "--help" {
		t.usage()
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return t.exitCode(t.runCommand(ctx, c, args[1:]))
		}
	}
	fmt.Fprintf(t.Err, "lane: no subcommand %q; lane help lists them\n", args[0])
	return ExitUsage
}

// exitCode prints the error and returns its exit code: the one that it carries,
// otherwise ExitUsage for a *UsageError and ExitFailed for any other.
func (t *Tool) exitCode(err error) int {
	var usage *UsageError
	code, hasCode := merry.Value(err, exitCodeKey{}).(int)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(t.Err, "lane: %s\n", usage.Reason)
		return ExitUsage
	case hasCode:
		fmt.Fprintf(t.Err, "lane: %v\n", err)
		return code
	default:
		fmt.Fprintf(t.Err, "lane: %v\n", err)
		return ExitFailed
	}
}

// runCommand defines the flags that all subcommands share and runs the
// subcommand.
func (t *Tool) runCommand(ctx context.Context, c command, args []string) error {
	f := &flags{FlagSet: flag.NewFlagSet(c.name, flag.ContinueOnError), ctx: ctx, args: args}
	f.SetOutput(t.Err)
	f.Usage = func() {
		fmt.Fprintf(t.Err, "usage: lane %s [flags] %s\n\n%s\n\nexample:\n  %s\n\nflags:\n", c.name, c.args, c.short, c.example)
		f.PrintDefaults()
	}
	f.StringVar(&f.operator, "operator", t.env("LANE_OPERATOR", "http://127.0.0.1:9001"), "base URL of an instance's operators' address; LANE_OPERATOR")
	f.StringVar(&f.caller, "caller", t.env("LANE_CALLER", "http://127.0.0.1:8001"), "base URL of an instance's callers' address; LANE_CALLER")
	f.StringVar(&f.token, "token", t.env("LANE_TOKEN", ""), "bearer token; better given in LANE_TOKEN, since arguments show in process lists")
	f.StringVar(&f.keys.CAFile, "ca", t.env("LANE_CA", ""), "file of the authority that signs the instances' certificates, for https URLs; LANE_CA")
	f.StringVar(&f.keys.CertFile, "cert", t.env("LANE_CERT", ""), "file of the operator's own certificate; LANE_CERT")
	f.StringVar(&f.keys.KeyFile, "key", t.env("LANE_KEY", ""), "file of its key; LANE_KEY")
	f.StringVar(&f.output, "o", "table", "output: table or json")
	return c.run(t, f)
}

// parse parses the subcommand's flags and checks that n arguments remain; n < 0
// allows any number. Flags may precede or follow the arguments.
func (f *flags) parse(n int) error {
	var positional []string
	args := f.args
	for {
		if err := f.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return err
			}
			return &UsageError{err.Error()}
		}
		if f.NArg() == 0 {
			break
		}
		positional = append(positional, f.Arg(0))
		args = f.Args()[1:]
	}
	f.args = positional
	if f.output != "table" && f.output != "json" {
		return &UsageError{fmt.Sprintf("-o %s: want table or json", f.output)}
	}
	if n >= 0 && len(positional) != n {
		return &UsageError{fmt.Sprintf("%s wants %d arguments, got %d; lane %s -h shows an example", f.Name(), n, len(positional), f.Name())}
	}
	return nil
}

// env returns the environment variable, or the fallback if it is empty.
func (t *Tool) env(key, fallback string) string {
	if t.Env != nil {
		if v := t.Env(key); v != "" {
			return v
		}
	}
	return fallback
}

func (t *Tool) usage() {
	var b strings.Builder
	b.WriteString("lane operates and calls jasminelane.\n\nusage: lane SUBCOMMAND [flags] [arguments]\n\n")
	for _, c := range commands() {
		fmt.Fprintf(&b, "  %-10s %s\n", c.name, c.short)
	}
	b.WriteString("\nexit codes: 0 done, 1 failed, 2 usage, 3 refused and not carried out, 4 unknown fate,\n" +
		"5 unreachable, 6 a replay or demo did not end as stated, 7 a checked file is not valid\n")
	fmt.Fprint(t.Out, b.String())
}

func commands() []command {
	return []command{
		{"check", "FILE", "check a settings file (.ini) or a configuration record (.json) without applying it", "lane check -name account/asha asha.json", runCheck},
		{"publish", "FILE", "publish a configuration record and report where it is in force", "lane publish -name account/asha -base 17 asha.json", runPublish},
		{"remove", "NAME", "remove a configuration record", "lane remove -base 17 account/asha", runRemove},
		{"config", "[NAME]", "show configuration records", "lane config account/asha", runConfig},
		{"accounts", "", "show client accounts: guarantees, use and what is lent", "lane accounts", runAccounts},
		{"jobs", "", "show jobs and why each waits", "lane jobs -phase waiting", runJobs},
		{"job", "ID", "show one job and what would have to change for it to run", "lane job sheet-7", runJob},
		{"workers", "", "show workers", "lane workers", runWorkers},
		{"aside", "WORKER", "set a worker aside: nothing new is placed there", "lane aside kochi-r1-w3", runAside},
		{"return", "WORKER", "return a worker to service", "lane return kochi-r1-w3", runReturn},
		{"instances", "", "show live instances and how far each has read the log", "lane instances", runInstances},
		{"status", "", "show one instance's view: offset, digest, refusals", "lane status", runStatus},
		{"drain", "", "shut one instance down gracefully", "lane drain -operator http://127.0.0.1:9002", runDrain},
		{"kill", "ID", "cancel a job as an operator", "lane kill sheet-7", runKill},
		{"submit", "ID", "submit a job as a caller", "lane submit -shape 4x2@rack -kind sheet sheet-7", runSubmit},
		{"watch", "ID", "wait until a job has ended and print its fate", "lane watch -timeout 1m sheet-7", runWatch},
		{"cancel", "ID", "cancel a job as a caller", "lane cancel sheet-7", runCancel},
		{"request", "SERVICE BODY", "send a request to a service", "lane request -once badges 'print sheet 7'", runRequest},
		{"log", "", "read the platform's log: records, what the fold decides on each, snapshots", "lane log -from 120 -limit 50 -kind place", runLog},
		{"replay", "TRACE...", "replay recorded traces through the product and the naive baseline", "lane replay trace/testdata/*.trace", runReplay},
		{"measure", "", "measure slopes at three sizes and work out the cost at the target size", "lane measure", runMeasure},
		{"demo", "[FILE...]", "run stand-ins and three instances in this process and play an input through", "lane demo", runDemo},
	}
}
