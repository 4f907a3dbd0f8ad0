// Package cmds implements the commands of croftctl. Each prints text or JSON; ExitCode
// maps its error to the exit code.
package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"croftmoor.dev/croftctl/client"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/start"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = start.ExitFailed
	ExitUsage       = start.ExitUsage
	ExitConflict    = 3
	ExitInvalid     = 4
	ExitUnknown     = 5
	ExitNotRun      = 6
	ExitDenied      = 7
	ExitUnreachable = 8
)

// ExitCode maps an error to the process's exit code.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	switch fault.KindOf[client.Kind](err) {
	case client.Conflict:
		return ExitConflict
	case client.Invalid:
		return ExitInvalid
	case client.OutcomeUnknown:
		return ExitUnknown
	case client.NotRun:
		return ExitNotRun
	case client.Denied:
		return ExitDenied
	case client.Unreachable:
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// Options are the flags that all commands share.
type Options struct {
	Admin  []string `long:"admin" env:"CROFT_ADMIN" env-delim:"," required:"true" description:"administration address of an instance; may be given several times"`
	Token  string   `long:"token" env:"CROFT_TOKEN" description:"operator's token"`
	Output string   `long:"output" choice:"text" choice:"json" default:"text" description:"output format"` //nolint:staticcheck // go-flags takes repeated choices
}

// Base has what all commands need. Commands print to Out.
type Base struct {
	Options *Options     `no-flag:"true"`
	Out     io.Writer    `no-flag:"true"`
	Clock   *clock.Clock `no-flag:"true"`
}

func (b *Base) client() *client.Client {
	c := &client.Client{Token: b.Options.Token}
	for _, admin := range b.Options.Admin {
		c.Admins = append(c.Admins, ident.Address(admin))
	}
	return c
}

// print writes value as JSON, or calls text with a writer that aligns tab-separated
// columns, as Options.Output says.
func (b *Base) print(value any, text func(w io.Writer)) error {
	if b.Options.Output == "json" {
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return fault.Wrap("cmds.print", client.Invalid, err, "cannot encode the output as JSON")
		}
		_, err = fmt.Fprintln(b.Out, string(data))
		return err
	}
	table := tabwriter.NewWriter(b.Out, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// writeRow writes cells as one tab-separated row.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// instanceStatus is the status of one instance, or the error of the request for it.
type instanceStatus struct {
	Name   string
	Zone   string
	Status *client.Status
	Error  string
}

// fetchStatuses requests the status of each instance on the list of the first that answers.
func (b *Base) fetchStatuses(ctx context.Context) ([]instanceStatus, error) {
	c := b.client()
	var first client.Status
	if err := c.Get(ctx, "/v1/status", &first); err != nil {
		return nil, err
	}
	var list []instanceStatus
	for _, entry := range first.Entries {
		status := instanceStatus{Name: entry.Name, Zone: entry.Zone}
		var s client.Status
		if err := c.GetFrom(ctx, ident.Address(entry.Admin), "/v1/status", &s); err != nil {
			status.Error = err.Error()
		} else {
			status.Status = &s
		}
		list = append(list, status)
	}
	return list, nil
}
