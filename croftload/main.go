// Command croftload runs croftmoor and its stand-ins on this machine: a demo,
// and loads and experiments that are counted at the far ends.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"croftmoor.dev/croftload/demo"
	"croftmoor.dev/kernel/clock"
)

type demoCommand struct {
	Bin string `long:"bin" default:"bin" description:"folder of the programs"`
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := demo.Demo{Bin: c.Bin, Dir: filepath.Join(os.TempDir(), fmt.Sprintf("croftmoor-demo-%d", os.Getpid())), Out: os.Stdout, Clock: clock.New()}
	return d.Run(ctx)
}

type commands struct {
	Demo demoCommand `command:"demo" description:"run the main job once, with faults, and report"`
}

func main() {
	_, err := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash).Parse()
	if err == nil {
		return
	}
	var usage *flags.Error
	if eris.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return
	}
	fmt.Fprintln(os.Stderr, "croftload: "+err.Error())
	os.Exit(1)
}
