// Command standin3 plays the platform, the executors and the clients of a small
// deployment against processes of the project, and checks one promise of the users'
// pages. It exits with 1 if the promise was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// loopback is the loopback address of this run, so that runs do not share ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// longest is how long a case may run.
const longest = 110 * time.Second

// bench is a small deployment.
type bench struct {
	rec     *record
	store   *store
	rules   *rules
	pool    *pool
	fleet   *fleet
	client  *client
	trouble bool
	stop    chan struct{}
}

// cases are the scripts by name.
var cases = map[string]func(b *bench) error{
	"pause":   playPause,
	"pending": playPending,
	"expire":  playExpire,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/fleetd", "path of the instance's program")
	out := flag.String("record", "record.txt", "path of the record")
	keep := flag.Bool("keep", false, "keep the logs of the instances")
	flag.Parse()
	os.Exit(play(*name, *program, *out, *keep))
}

// play plays a case and returns the exit code.
func play(name, program, out string, keep bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	program, err = filepath.Abs(program)
	if err != nil {
		return 2
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep {
		fmt.Println(dir)
	} else {
		defer os.RemoveAll(dir)
	}
	b := &bench{rec: rec, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	rec.add("case %s, trouble %t", name, b.trouble)
	b.rules = newRules(rec)
	b.fleet = &fleet{rec: rec, dir: dir, program: program, keepS: 300}
	defer b.fleet.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
			rec.add("cannot run: ended by a signal")
		case <-time.After(longest):
			rec.add("cannot run: not done within %v", longest)
		}
		b.fleet.close()
		if !keep {
			os.RemoveAll(dir)
		}
		os.Exit(2)
	}()
	defer close(b.stop)
	b.store = newStore()
	b.pool = newPool(rec, b.store, b.rules)
	b.store.machines = b.pool.machines
	b.client = newClient(rec, b.rules, b.fleet)
	if err := run(b); err != nil {
		rec.add("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b.rules.mu.Lock()
	defer b.rules.mu.Unlock()
	for _, line := range b.rules.broken {
		fmt.Println("broken:", line)
	}
	if len(b.rules.broken) > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}

// configuration returns a configuration of the operator.
func configuration(version int) map[string]any {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{"name": name, "host": "lane.example", "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": priority, "service": "press", "maxAttempts": 2, "stretch": 3.0, "public": false}
	}
	return map[string]any{
		"version": version, "routes": []any{route("r-proof", "/proof/", 1), route("r-check", "/check/", 0), route("r-sheet", "/sheet/", 2)},
		"services": []any{map[string]any{"name": "press", "healthPath": "/health", "rejectsOverload": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "schools", "apiKeys": []string{clientKey}, "guaranteed": map[string]any{"gpu": 8}}},
	}
}

// begin starts a deployment and waits until it is ready.
func (b *bench) begin(instances, executors int) error {
	b.store.put("keyed.op", "config", configuration(3))
	for i := range executors {
		if _, err := b.pool.add(fmt.Sprintf("i-%02d", i), "kochi", fmt.Sprintf("r1-%d", i/8), resources{128000, 262144, 8}); err != nil {
			return err
		}
	}
	go b.pool.loop(b.stop)
	for i := range instances {
		addr, err := b.store.via()
		if err != nil {
			return err
		}
		if _, err := b.fleet.add(fmt.Sprintf("front-%d", i), "kochi", addr); err != nil {
			return err
		}
	}
	if err := b.fleet.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
