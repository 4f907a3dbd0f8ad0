// Command croftctl is the operators' command line.
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

// register adds the commands.
func register(parser *flags.Parser, base cmds.Base) {
	for _, c := range []struct {
		name string
		help string
		data any
	}{
		{"apply", "apply a team's file as a whole", &cmds.Apply{Base: base}},
		{"diff", "show how a file differs from what is in force", &cmds.Diff{Base: base}},
		{"get", "print a team's file in force", &cmds.Get{Base: base}},
		{"teams", "list the teams and their revisions", &cmds.Teams{Base: base}},
		{"history", "list recent changes and their verdicts", &cmds.History{Base: base}},
		{"outcome", "tell how a change ended whose answer was lost", &cmds.Outcome{Base: base}},
		{"status", "show every instance", &cmds.Status{Base: base}},
		{"watch", "show the status again and again", &cmds.Watch{Status: cmds.Status{Base: base}}},
		{"why", "show the decisions about a request or sample", &cmds.Why{Base: base}},
		{"restore", "start anew after the log has lost the shared state", &cmds.Restore{Base: base}},
		{"drain", "start the planned stop of the instance at --admin", &cmds.Drain{Base: base}},
	} {
		if _, err := parser.AddCommand(c.name, c.help, "", c.data); err != nil {
			panic(err)
		}
	}
}
