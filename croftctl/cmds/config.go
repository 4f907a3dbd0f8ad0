package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pmezard/go-difflib/difflib"

	"croftmoor.dev/croftctl/client"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/ident"
)

// fileArg is the positional argument of commands that read a file.
type fileArg struct {
	File string `positional-arg-name:"FILE" required:"true"`
}

type teamArg struct {
	Team string `positional-arg-name:"TEAM" required:"true"`
}

// Apply replaces a team's configuration with a file.
type Apply struct {
	Base
	Args         fileArg `positional-args:"true"`
	DryRun       bool    `long:"dry-run" description:"only show what would change, and whether the file is valid"`
	BaseRevision int64   `long:"base" default:"-1" description:"revision that the file was edited from; the one in force if not given"`
	ID           string  `long:"id" description:"id of the change; a repeated id returns the first verdict"`
	By           string  `long:"by" description:"author of the change"`
}

// fileHeader is the only part of a file that croftctl reads; the instance checks the rest.
type fileHeader struct {
	Team string
}

func readFile(path string) (string, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, fault.Wrap("cmds.readFile", client.Invalid, err, path)
	}
	var header fileHeader
	if err := json.Unmarshal(data, &header); err != nil || header.Team == "" {
		e := fault.New("cmds.readFile", client.Invalid, path+" is not a JSON object with a Team")
		e.Do = "correct the file"
		return "", nil, e
	}
	return header.Team, data, nil
}

// Execute sends the change and prints its verdict.
func (a *Apply) Execute([]string) error {
	ctx := context.Background()
	team, text, err := readFile(a.Args.File)
	if err != nil {
		return err
	}
	c := a.client()
	var current client.Team
	if err := c.Get(ctx, "/v1/teams/"+team, &current); err != nil {
		return err
	}
	if a.DryRun && a.Options.Output == "text" {
		if err := showDiff(a.Out, current, text); err != nil {
			return err
		}
	}
	change := client.Change{ID: a.ID, Base: a.BaseRevision, By: a.By, DryRun: a.DryRun, Text: text}
	if change.ID == "" {
		change.ID = ident.NewRandom()
	}
	if change.Base < 0 {
		change.Base = current.Revision
	}
	var v client.Verdict
	if err := c.Post(ctx, "/v1/teams/"+team+"/config", change, &v); err != nil {
		return withRemedy(err, change.ID)
	}
	return a.showVerdict(v, a.DryRun)
}

// withRemedy adds to an OutcomeUnknown error the command that shows the change's verdict.
func withRemedy(err error, id string) error {
	if fault.KindOf[client.Kind](err) != client.OutcomeUnknown {
		return err
	}
	e := fault.Wrap("croftctl apply", client.OutcomeUnknown, err, "the change may have been applied")
	e.Do = "show the verdict with: croftctl outcome " + id
	return e
}

// showVerdict prints an accepted verdict and returns an error for any other.
func (b *Base) showVerdict(v client.Verdict, dryRun bool) error {
	if v.Outcome != "Accepted" {
		kind := client.Invalid
		remedy := "correct the file and apply it again; nothing was changed"
		if v.Outcome == "Conflict" {
			kind = client.Conflict
			remedy = "fetch the configuration in force with croftctl get " + v.Team + ", edit that, and apply again"
		}
		return &client.Error{Op: "croftctl apply", Kind: kind, What: v.Reason, Do: remedy}
	}
	return b.print(v, func(w io.Writer) {
		if dryRun {
			writeRow(w, "the file is valid; nothing was changed")
			return
		}
		writeRow(w, fmt.Sprintf("accepted: team %s is at revision %d (change %s)", v.Team, v.Revision, v.ID))
	})
}

// indentJSON returns text indented, or "" if it is empty or not JSON.
func indentJSON(text []byte) string {
	var out bytes.Buffer
	if len(text) == 0 || json.Indent(&out, text, "", "  ") != nil {
		return ""
	}
	return out.String() + "\n"
}

func showDiff(out io.Writer, current client.Team, text []byte) error {
	const contextLines = 3
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(indentJSON(current.Text)), B: difflib.SplitLines(indentJSON(text)),
		FromFile: fmt.Sprintf("revision %d", current.Revision), ToFile: "file", Context: contextLines,
	})
	if err != nil {
		return fault.Wrap("cmds.showDiff", client.Invalid, err, "")
	}
	if diff == "" {
		diff = "no difference\n"
	}
	_, err = io.WriteString(out, diff)
	return err
}

// Diff shows the difference between a file and its team's configuration in force.
type Diff struct {
	Base
	Args fileArg `positional-args:"true"`
}

// Execute prints the difference as a unified diff.
func (d *Diff) Execute([]string) error {
	team, text, err := readFile(d.Args.File)
	if err != nil {
		return err
	}
	var current client.Team
	if err := d.client().Get(context.Background(), "/v1/teams/"+team, &current); err != nil {
		return err
	}
	return showDiff(d.Out, current, text)
}

// Get prints a team's configuration in force.
type Get struct {
	Base
	Args teamArg `positional-args:"true"`
}

// Execute prints the file.
func (g *Get) Execute([]string) error {
	var current client.Team
	if err := g.client().Get(context.Background(), "/v1/teams/"+g.Args.Team, &current); err != nil {
		return err
	}
	return g.print(current, func(w io.Writer) { writeRow(w, indentJSON(current.Text)) })
}

// Teams lists the teams and their revisions.
type Teams struct {
	Base
}

// Execute lists the teams.
func (t *Teams) Execute([]string) error {
	var list []client.Team
	if err := t.client().Get(context.Background(), "/v1/teams", &list); err != nil {
		return err
	}
	return t.print(list, func(w io.Writer) {
		writeRow(w, "TEAM", "REVISION", "BY")
		for _, team := range list {
			writeRow(w, team.Team, team.Revision, team.By)
		}
	})
}

// History lists the recent verdicts.
type History struct {
	Base
}

// Execute lists the verdicts.
func (h *History) Execute([]string) error {
	var list []client.Verdict
	if err := h.client().Get(context.Background(), "/v1/history", &list); err != nil {
		return err
	}
	return h.print(list, func(w io.Writer) {
		writeRow(w, "REVISION", "TEAM", "OUTCOME", "BY", "ID", "REASON")
		for _, v := range list {
			writeRow(w, v.Revision, v.Team, v.Outcome, v.By, v.ID, v.Reason)
		}
	})
}

// Outcome shows the verdict on a change, for instance after the answer to apply was lost.
type Outcome struct {
	Base
	Args idArg `positional-args:"true"`
}

type idArg struct {
	ID string `positional-arg-name:"ID" required:"true"`
}

// Execute prints the verdict; a change that was not accepted is an error, as in Apply.
func (o *Outcome) Execute([]string) error {
	var v client.Verdict
	if err := o.client().Get(context.Background(), "/v1/verdicts/"+o.Args.ID, &v); err != nil {
		return err
	}
	return o.showVerdict(v, false)
}
