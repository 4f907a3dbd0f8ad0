// Package proofs brings about the failures that the brief names, on real
// processes, and counts at the far ends what they did. The scripts stand in
// testdata; the commands they use are defined here.
package proofs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftfake/train"
	"croftmoor.dev/croftload/bench"
	"croftmoor.dev/croftload/drive"
	"croftmoor.dev/kernel/clock"
)

// binDir holds the programs that the scripts run.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "croftmoor-bin-")
	if err != nil {
		panic(err)
	}
	binDir = dir
	for _, program := range []string{"croftmoor", "croftctl", "croftfake"} {
		build := exec.CommandContext(context.Background(), "go", "build", "-o", filepath.Join(dir, program), ".")
		build.Dir = filepath.Join("..", "..", program)
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// worldKey finds a script's world.
type worldKey struct{}

// world is what one script runs.
type world struct {
	clock   *clock.Clock
	cluster *bench.Cluster
	holds   *drive.PlainCallers
	live    *drive.ModelCallers
	trainer []*train.Trainer
	cancel  context.CancelFunc
	group   conc.WaitGroup
	seen    map[string]int64
	mu      sync.Mutex
	asking  map[string]drive.Outcome
}

// mostScripts bounds how many clusters run at once.
const mostScripts = 3

var slots = make(chan struct{}, mostScripts)

func TestProofs(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster": cmdCluster, "apply": cmdApply, "ctl": cmdCtl, "load": cmdLoad, "finish": cmdFinish,
			"crash": cmdCrash, "freeze": cmdFreeze, "thaw": cmdThaw, "term": cmdTerm, "start": cmdStart,
			"cut": cmdCut, "rule": cmdRule, "heal": cmdHeal, "fault": cmdFault, "leave": cmdLeave, "pass": cmdPass,
			"within": cmdWithin, "count": cmdCount, "ask": cmdAsk, "asked": cmdAsked, "race": cmdRace,
		},
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			w := &world{clock: clock.New(), seen: map[string]int64{}, asking: map[string]drive.Outcome{}}
			env.Values[worldKey{}] = w
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Defer(func() {
				w.end()
				<-slots
			})
			return nil
		},
	})
}

func (w *world) end() {
	if w.cancel != nil {
		w.cancel()
	}
	if w.cluster != nil {
		w.cluster.Stop()
	}
	w.group.Wait()
}

func worldOf(ts *testscript.TestScript) *world {
	w, _ := ts.Value(worldKey{}).(*world)
	return w
}

// args is a command's words of the form Name=Value.
type args map[string]string

func parse(ts *testscript.TestScript, words []string) args {
	a := args{}
	for _, word := range words {
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			ts.Fatalf("want Name=Value, not %s", word)
		}
		a[name] = value
	}
	return a
}

func (a args) text(name, fallback string) string {
	if value, ok := a[name]; ok {
		return value
	}
	return fallback
}

func (a args) number(ts *testscript.TestScript, name string, fallback int64) int64 {
	value, ok := a[name]
	if !ok {
		return fallback
	}
	n, err := strconv.ParseInt(value, 10, 64)
	ts.Check(err)
	return n
}

func (a args) words(name string) []string {
	if a[name] == "" {
		return nil
	}
	return strings.Split(a[name], ",")
}
