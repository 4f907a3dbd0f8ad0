// Command croftctl is the command-line client for operators of the entry instances.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"croftmoor.dev/croftctl/cmds"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/start"
)

func main() {
	options := &cmds.Options{}
	parser := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash)
	base := cmds.Base{Options: options, Out: os.Stdout, Clock: clock.New()}
	register(parser, base)
	start.Main("croftctl", parser, cmds.ExitCode)
}

func register(parser *flags.Parser, base cmds.Base) {
	for _, c := range []struct {
		name string
		help string
		data any
	}{
		{"apply", "replace a team's configuration with a file", &cmds.Apply{Base: base}},
		{"diff", "show the difference between a file and the configuration in force", &cmds.Diff{Base: base}},
		{"get", "print a team's configuration in force", &cmds.Get{Base: base}},
		{"teams", "list the teams and their revisions", &cmds.Teams{Base: base}},
		{"history", "list recent changes and their verdicts", &cmds.History{Base: base}},
		{"outcome", "show the verdict on a change by its id", &cmds.Outcome{Base: base}},
		{"status", "show the status of every instance", &cmds.Status{Base: base}},
		{"watch", "show the status every second", &cmds.Watch{Status: cmds.Status{Base: base}}},
		{"why", "show the decisions about a request or sample", &cmds.Why{Base: base}},
		{"restore", "reset the shared state after the log has lost it", &cmds.Restore{Base: base}},
		{"drain", "start the graceful shutdown of the instance at --admin", &cmds.Drain{Base: base}},
	} {
		if _, err := parser.AddCommand(c.name, c.help, "", c.data); err != nil {
			panic(err)
		}
	}
}
