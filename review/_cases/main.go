// Command review-cases plays the cases of the review: it starts instances of the fleet as separate processes, beside
// stand-ins for the platform's store, the replicas and the consumers, all on loopback addresses.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 in the environment
// it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of each case to what plays it. It returns what broke the rule, nothing if it held.
var cases = map[string]func(w *world) []string{
	"late-refusal":  playLateRefusal,
	"last-key":      playLastKey,
	"descriptors":   playDescriptors,
	"frozen-config": playFrozenConfig,
	"memory":        playMemory,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE RECORD")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

// run plays a case and returns the exit code. A case that cannot run panics with a notRun.
func run(play func(w *world) []string, record string) (code int) {
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	defer func() {
		failed := recover()
		if failed == nil {
			return
		}
		fmt.Fprintln(os.Stderr, "the case could not run:", failed)
		w.record.add("not run", "why", failed)
		code = exitNotRun
	}()
	broken := play(w)
	for _, line := range broken {
		fmt.Println("BROKEN:", line)
		w.record.add("broken", "what", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	w.record.add("held")
	return exitHeld
}

// notRun is why a case could not run.
type notRun string

// must ends the case if err is not nil.
func must(err error) {
	if err != nil {
		panic(notRun(err.Error()))
	}
}
