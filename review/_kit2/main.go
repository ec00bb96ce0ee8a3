// Command kit2 holds the stand-ins and the drivers of the cases 6 to 10 of the review.
//
// `kit2 replica` is a sound replica as the users' pages describe it. `kit2 case-N` plays case N: it starts the platform's store (the
// project's stand-in), replicas and instances as separate processes, acts as the consumers, writes record.txt, and ends all
// processes that it started. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cases holds the driver of each case by its command.
var cases = map[string]func(*world) (broken bool, err error){}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: kit2 replica | case-N")
		os.Exit(exitCannot)
	}
	command := os.Args[1]
	if command == "replica" {
		runReplica(os.Args[2:])
		return
	}
	play, known := cases[command]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown command", command)
		os.Exit(exitCannot)
	}
	os.Exit(playCase(play))
}

// playCase plays a case in a world of its own and returns the exit code.
func playCase(play func(*world) (bool, error)) int {
	w, err := newWorld(os.Getenv("RECORD"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannot
	}
	defer w.close()
	broken, err := play(w)
	switch {
	case err != nil:
		w.record("driver", "cannot run: %v", err)
		return exitCannot
	case broken:
		w.record("driver", "verdict: the rule was BROKEN")
		return exitBroken
	default:
		w.record("driver", "verdict: the rule held")
		return exitHeld
	}
}
