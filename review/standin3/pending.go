package main

import (
	"fmt"
	"net/http"
	"time"
)

// playPending loses one executor of eight for good, while eight jobs come that fit on no
// other one. None of them begins, so that all have to be counted as pending.
func playPending(b *bench) error {
	const (
		jobs    = 8
		visible = 3 * time.Second // visible_ms
		slack   = 2 * time.Second
	)
	if err := b.begin(3, 8); err != nil {
		return err
	}
	for range 7 {
		full := b.client.expect(shape{[]shapeStep{{count: 1, work: time.Hour, lasts: true, needed: resources{100000, 110000, 8}}}})
		if !b.client.submit(full, "/proof/", 4) {
			return fmt.Errorf("a lasting job was not accepted")
		}
	}
	time.Sleep(2 * time.Second)
	b.pool.mu.Lock()
	var idle *executor
	for _, e := range b.pool.executors {
		if len(e.running) == 0 {
			idle = e
		}
	}
	if idle == nil {
		b.pool.mu.Unlock()
		return fmt.Errorf("no executor is idle")
	}
	if b.trouble {
		idle.vanish()
	}
	b.pool.mu.Unlock()
	var sent []*job
	for range jobs {
		j := b.client.expect(shape{[]shapeStep{{count: 1, work: 2 * time.Second, needed: resources{11000, 16000, 1}}}})
		if !b.client.submit(j, "/sheet/", 4) {
			return fmt.Errorf("a job was not accepted")
		}
		sent = append(sent, j)
	}
	last := time.Now()
	for _, after := range []time.Duration{visible + slack + time.Second, 12 * time.Second, 18 * time.Second, 24 * time.Second} {
		time.Sleep(time.Until(last.Add(after)))
		waiting := 0
		b.rules.mu.Lock()
		for _, j := range sent {
			if !b.rules.ranAny(j.id) {
				waiting++
			}
		}
		b.rules.mu.Unlock()
		for _, n := range b.fleet.instances {
			status, answered := b.client.call(n, http.MethodGet, "/sheet/", nil)
			pending, ok := answered["pending"].(float64)
			b.rec.add("client: GET /sheet/ at %s, %.1f s after the last ack: %d, pending %v; jobs that have not begun: %d", n.name, time.Since(last).Seconds(), status, answered["pending"], waiting)
			if ok && 2*int(pending) < waiting {
				b.rules.mu.Lock()
				b.rules.breach("MIXED", "%s gives %d as pending %.0f s after the last ack, and %d jobs have not begun", n.name, int(pending), time.Since(last).Seconds(), waiting)
				b.rules.mu.Unlock()
			}
		}
	}
	for _, j := range sent {
		b.client.state(j, b.fleet.instances[0], "/sheet/")
	}
	return nil
}
