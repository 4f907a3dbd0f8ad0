// Command croftmoor runs an entry instance of the rollout service.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"croftmoor.dev/croftmoor/serve"
	"croftmoor.dev/kernel/start"
)

const version = "0.1.0"

type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file"`
}

// Execute runs the instance until SIGTERM, SIGINT or a requested drain.
func (c *serveCommand) Execute([]string) error {
	config, err := serve.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	instance := serve.Instance{Config: config, Out: os.Stdout, LogOutput: os.Stderr}
	return instance.Run(ctx)
}

type checkCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file"`
}

// Execute reads the settings file and returns its problems as an error.
func (c *checkCommand) Execute([]string) error {
	if _, err := serve.ReadSettings(c.Settings); err != nil {
		return err
	}
	fmt.Println("the settings are valid")
	return nil
}

type versionCommand struct{}

// Execute prints the program's name and version.
func (*versionCommand) Execute([]string) error {
	fmt.Println("croftmoor " + version)
	return nil
}

type commands struct {
	Serve   serveCommand   `command:"serve" description:"run an entry instance"`
	Check   checkCommand   `command:"check" description:"check a settings file"`
	Version versionCommand `command:"version" description:"print the version"`
}

func main() {
	start.Main("croftmoor", flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash), nil)
}
