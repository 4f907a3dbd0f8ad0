// Command stand plays the cases of a review: it starts the system's own processes with the command
// of the deploy file, beside a store, engines and clients of its own that follow the platform's
// pages, disturbs them, and checks one rule. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// mostTime is how long a case may take.
const mostTime = 110 * time.Second

// cases are the cases by name. A case returns what broke the rule.
var cases = map[string]func(w *world, trouble bool) (broken []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*world, bool) ([]string, error), path string) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	rec := &recorder{out: out, began: time.Now()}
	program, err := filepath.Abs("target/croftmoor")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(rec, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.stop()
	defer w.stopOnSignal()()
	broken, err := within(mostTime, func() ([]string, error) { return run(w, os.Getenv("TROUBLE") != "0") })
	if err != nil {
		fmt.Println("not run:", err)
		rec.note("not run: " + err.Error())
		return 2
	}
	for _, b := range broken {
		fmt.Println("broken:", b)
		rec.note("broken: " + b)
	}
	if len(broken) > 0 {
		return 1
	}
	fmt.Println("the rule held")
	rec.note("the rule held")
	return 0
}

// within returns what a case returns, or an error if it takes too long.
func within(most time.Duration, run func() ([]string, error)) (broken []string, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = run()
	}()
	select {
	case <-done:
		return broken, err
	case <-time.After(most):
		return nil, fmt.Errorf("%w: it took over %s", errNotRun, most)
	}
}
