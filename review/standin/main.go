//go:build review

// Command standin plays one case of the review: it starts the project's own
// processes, stand-ins of the platform, executors and clients, and checks one rule
// of the users. It exits with status 1 if the rule was broken, 0 if it held and 2
// if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds the duration of a case whose store keeps records for
// defaultKeepS.
const (
	maxTime      = 115 * time.Second
	defaultKeepS = 20
)

// keepS is the number of seconds for which the store of the play old-leader
// retains records.
var keepS = flag.Int("keep", defaultKeepS, "seconds of the store's history in the play old-leader; longer plays with more")

// result is the verdict of a case: how the rule was broken, empty if it held.
type result struct {
	broken string
}

// cases holds the function of each case. trouble is false for the same play
// without the disruption.
var cases = map[string]func(rec *recorder, trouble bool) (result, error){
	"late-order":   lateOrder,
	"refused-stop": refusedStop,
	"crashes":      crashes,
	"history":      history,
	"pending":      pending,
	"old-leader":   oldLeader,
	"malformed":    malformed,
	"preemption":   refusedPreemption,
	"cancel":       cancelUnknown,
	"rack-wait":    rackWait,
}

var errUnready = errors.New("a job could not be handed in")

func main() {
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(play(*name, *path))
}

func play(name, path string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %v", name, trouble)
	// Whatever ends the case, its processes end with it.
	defer cleanUp()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		rec.add("verdict: could not run: ended by a signal")
		cleanUp()
		os.Exit(2)
	}()
	time.AfterFunc(maxTime+time.Duration(*keepS-defaultKeepS)*time.Second, func() {
		rec.add("verdict: could not run: it took too long")
		cleanUp()
		os.Exit(2)
	})
	res, err := run(rec, trouble)
	switch {
	case err != nil:
		rec.add("verdict: could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case res.broken != "":
		rec.add("verdict: broken: %s", res.broken)
		fmt.Println("broken:", res.broken)
		return 1
	}
	rec.add("verdict: held")
	fmt.Println("held")
	return 0
}
