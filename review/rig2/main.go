package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken, or an error if it could not run.
var cases = map[string]func(r *rig, hasTrouble bool) (broken bool, err error){
	"rejoining": runRejoining,
	"leaving":   runLeaving,
	"harmful":   runHarmful,
	"finishing": runFinishing,
	"limits":    runLimits,
	"unrouted":  runUnrouted,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD, with TROUBLE=0 for a run without the disruption")
		return exitNotRun
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitNotRun
	}
	defer r.close()
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun
	case broken:
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
