// Package start runs the command line of a program. All programs handle usage errors, help
// and exit codes alike.
package start

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

// Exit codes of all programs.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// Main parses the command line, which runs the chosen command. On an error it prints the
// error to stderr and exits with ExitUsage for a usage error, otherwise with the result of
// exitCode, or with ExitFailed if exitCode is nil.
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
