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

	"croftmoor.dev/croftload/costs"
	"croftmoor.dev/croftload/demo"
	"croftmoor.dev/croftload/exper"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/start"
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

type experimentCommand struct {
	Bin         string   `long:"bin" default:"bin" description:"folder of the programs"`
	Out         string   `long:"out" default:"experiment-report.json" description:"file for the rows"`
	Seconds     int64    `long:"seconds" default:"15" description:"length of a run"`
	Seeds       []int64  `long:"seed" default:"1" description:"seed; may be given several times"`
	Deployments []string `long:"deployment" description:"deployment; all if not given"`
	Scenarios   []string `long:"scenario" description:"scenario; all if not given"`
	Policies    []string `long:"policy" description:"policy; all if not given"`
	Plot        string   `long:"plot" description:"SVG file for a plot of the idle shares"`
}

// Execute runs the experiment and prints its table.
func (c *experimentCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	plan := exper.Plan{
		Bin: c.Bin, Dir: filepath.Join(os.TempDir(), fmt.Sprintf("croftmoor-experiment-%d", os.Getpid())), Clock: clock.New(),
		Span: clock.Millis(c.Seconds) * clock.Second, Seeds: c.Seeds,
		Deployments: c.Deployments, Scenarios: c.Scenarios, Policies: c.Policies, Progress: os.Stderr,
	}
	rows, err := plan.Run(ctx)
	if err != nil {
		return err
	}
	if err := exper.WriteJSON(c.Out, rows); err != nil {
		return err
	}
	if c.Plot != "" {
		if err := exper.Plot(c.Plot, rows); err != nil {
			return err
		}
	}
	return exper.Table(os.Stdout, rows)
}

type costsCommand struct {
	Bin string `long:"bin" default:"bin" description:"folder of the programs"`
}

// Execute measures and prints.
func (c *costsCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	m := costs.Costs{Bin: c.Bin, Dir: filepath.Join(os.TempDir(), fmt.Sprintf("croftmoor-costs-%d", os.Getpid())), Out: os.Stdout, Clock: clock.New()}
	return m.Run(ctx)
}

type commands struct {
	Costs costsCommand `command:"costs" description:"measure what croftmoor itself spends"`

	Experiment experimentCommand `command:"experiment" alias:"compare" description:"measure policies on the same load, faults and seeds"`

	Demo demoCommand `command:"demo" description:"run the main job once, with faults, and report"`
}

func main() {
	start.Main("croftload", flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash), nil)
}
