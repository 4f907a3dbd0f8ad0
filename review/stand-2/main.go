// Command stand-2 plays the cases of the review that are scripts: it starts the project's
// program as the platform does, with stand-ins for the store, the engines, the plain servers
// and the clients around it, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps the name of a case to what plays it. A case returns true if the rule was broken.
var cases = map[string]func(*world) bool{
	"lostzone": lostZone,
	"lateword": lateWord,
	"full":     fullStore,
	"split":    deadShare,
	"holders":  twoHolders,
}

// longest bounds a run; one that plays another MaxQueueS takes that much longer.
const longest = 112 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand-2 CASE FOLDER")
		return exitUnable
	}
	defer func() {
		switch failed := recover().(type) {
		case nil:
		case unable:
			fmt.Println("the case could not run:", failed.error)
			code = exitUnable
		default:
			panic(failed)
		}
	}()
	w := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	defer w.close()
	w.stopWhenTold()
	if cases[os.Args[1]](w) {
		w.note("verdict: the rule is broken")
		fmt.Println("broken")
		return exitBroken
	}
	w.note("verdict: the rule held")
	fmt.Println("held")
	return exitHeld
}

// stopWhenTold ends the run, with all processes that it started, when it is told to or takes
// too long.
func (w *world) stopWhenTold() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-told:
		case <-time.After(longest + time.Duration(w.maxQueueS)*time.Second):
		}
		w.note("the run was stopped")
		w.close()
		os.Exit(exitUnable)
	}()
}
