// Package start runs a program's command line: usage errors, help and the exit
// code are the same for all programs.
package start

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

// Exit codes that all programs share.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// Main parses the command line, which runs the chosen command, and ends the
// process. ExitCode maps a command's error; nil stands for ExitFailed.
func Main(program string, parser *flags.Parser, exitCode func(error) int) {
	_, err := parser.Parse()
	if err == nil {
		return
	}
	var usage *flags.Error
	if eris.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return
		}
		fmt.Fprintln(os.Stderr, program+": "+usage.Message)
		os.Exit(ExitUsage)
	}
	fmt.Fprintln(os.Stderr, program+": "+err.Error())
	if exitCode != nil {
		os.Exit(exitCode(err))
	}
	os.Exit(ExitFailed)
}
