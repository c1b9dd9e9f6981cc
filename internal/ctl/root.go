// Package ctl implements nutmegctl, the command line tool for operators and
// callers. Each subcommand is a struct with its arguments and a Run method.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Program is the name of the command.
const Program = "nutmegctl"

// Exit codes.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the command or the job failed
	ExitUsage   = 2 // the arguments or the settings file are wrong
	ExitRefused = 3 // refused, not run
	ExitUnknown = 4 // it may have run
	ExitPartial = 5 // a change was made in part, or is in force only in some failure domains
)

// Root holds the arguments of nutmegctl.
type Root struct {
	Config  *ConfigCmd  `arg:"subcommand:config" help:"check settings files, review configurations"`
	Job     *JobCmd     `arg:"subcommand:job" help:"submit, get, cancel and explain jobs"`
	Table   *TableCmd   `arg:"subcommand:table" help:"read and edit the table of weights and limits"`
	Backend *BackendCmd `arg:"subcommand:backend" help:"list backend servers, take them out of service and back"`
	Audit   *AuditCmd   `arg:"subcommand:audit" help:"show who changed what"`
	Status  *StatusCmd  `arg:"subcommand:status" help:"say what an instance knows of itself, its peers and shards"`
	Logs    *LogsCmd    `arg:"subcommand:logs" help:"read the logs of instances: what happened to a job, why jobs were late"`
	Load    *loadCmd    `arg:"subcommand:load" help:"offer a workload to instances on loopback and report"`
	Version *VersionCmd `arg:"subcommand:version" help:"print the version"`
	JSON    bool        `arg:"--json" help:"write the result as JSON"`
}

// Description returns the introduction of the help text.
func (Root) Description() string {
	return "nutmegctl talks to nutmegweir as a caller or as an operator.\n"
}

// Epilogue returns the end of the help text with the exit codes.
func (Root) Epilogue() string {
	return "Exit codes: 0 ok, 1 failed, 2 wrong usage or settings, 3 refused and not run,\n" +
		"4 may have run or may be changed, 5 a change was made in part or is in force in\n" +
		"some failure domains only.\n\n" +
		"Use \"nutmegctl COMMAND --help\" for the arguments of a command."
}

// Env is the environment of a command.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	JSON   bool // write the result as JSON
}

// Command is a subcommand.
type Command interface {
	Run(ctx context.Context, env *Env) error
}

// loadCmd is Load as a subcommand of nutmegctl.
type loadCmd struct {
	Load
}

// Run performs the command.
func (c *loadCmd) Run(ctx context.Context, env *Env) error { return c.run(ctx, env.Stdout) }

// ExitError is an error with an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the inner error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the inner error.
func (e *ExitError) Unwrap() error { return e.Err }

// usageError returns an error in the arguments.
func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: errors.Errorf(format, args...)}
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var exit *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	default:
		return ExitFailed
	}
}

// Main runs nutmegctl with the arguments that follow the program's name and
// returns the exit code.
func Main(ctx context.Context, args []string, env *Env) int {
	err := run(ctx, args, env)
	if err != nil && err.Error() != "" {
		fmt.Fprintf(env.Stderr, "%s: %v\n", Program, err)
	}
	return ExitCode(err)
}

func run(ctx context.Context, args []string, env *Env) error {
	var root Root
	parser, err := arg.NewParser(arg.Config{Program: Program, Out: env.Stderr}, &root)
	if err != nil {
		return errors.Wrap(err, "arguments of the command")
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		return parser.WriteHelpForSubcommand(env.Stdout, parser.SubcommandNames()...)
	}
	if err != nil {
		return usageError("%v; see %s --help", err, Program)
	}
	command, ok := parser.Subcommand().(Command)
	if !ok {
		return missingCommand(parser, env)
	}
	env.JSON = root.JSON
	return command.Run(ctx, env)
}

// missingCommand prints the available commands.
func missingCommand(parser *arg.Parser, env *Env) error {
	if err := parser.WriteHelpForSubcommand(env.Stderr, parser.SubcommandNames()...); err != nil {
		return err
	}
	return usageError("a command is missing")
}

// writeJSON writes v as indented JSON.
func (e *Env) writeJSON(v any) error {
	encoder := json.NewEncoder(e.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "write the result")
}

// print writes a line of text.
func (e *Env) print(format string, args ...any) {
	fmt.Fprintf(e.Stdout, format+"\n", args...)
}
