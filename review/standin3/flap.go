package main

import (
	"fmt"
	"time"
)

// playFlap lets one executor of nine go down and up by turns while it runs a task.
// No run ends as failed, so that the job may not be shown as failed.
func playFlap(b *bench) error {
	const (
		period = 1400 * time.Millisecond
		length = 6500 * time.Millisecond
		work   = 8 * time.Second
	)
	if err := b.begin(3, 9); err != nil {
		return err
	}
	for range 8 {
		full := b.client.expect(shape{[]shapeStep{{count: 1, work: time.Hour, lasts: true, needed: resources{100000, 110000, 8}}}})
		if !b.client.submit(full, "/proof/", 4) {
			return fmt.Errorf("a lasting job was not accepted")
		}
	}
	time.Sleep(2 * time.Second)
	j := b.client.expect(shape{[]shapeStep{{count: 1, work: work, needed: resources{52000, 110000, 8}}}})
	if !b.client.submit(j, "/proof/", 4) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(1500 * time.Millisecond)
	b.pool.mu.Lock()
	var victim *executor
	for _, e := range b.pool.executors {
		for task := range e.running {
			if id, _ := taskParts(task); id == j.id {
				victim = e
			}
		}
	}
	b.pool.mu.Unlock()
	if victim == nil {
		return fmt.Errorf("the task does not run")
	}
	if b.trouble {
		for end := time.Now().Add(length); time.Now().Before(end); {
			b.pool.mu.Lock()
			victim.crash()
			b.pool.mu.Unlock()
			time.Sleep(period / 2)
			b.pool.mu.Lock()
			err := victim.boot()
			b.pool.mu.Unlock()
			if err != nil {
				return err
			}
			time.Sleep(period / 2)
		}
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		_, state := b.client.state(j, b.client.any(), "/proof/")
		if state == "done" {
			return nil
		}
		if state == "failed" || state == "cancelled" {
			b.rules.mu.Lock()
			b.rules.breach("LOST", "the job is shown as %s, and %d of its runs ended as failed (maxAttempts 2)", state, b.rules.failedEnds(j.id))
			b.rules.mu.Unlock()
			return nil
		}
	}
	b.rules.mu.Lock()
	defer b.rules.mu.Unlock()
	b.rules.breach("LOST", "the job is not done 40 s after the disruption")
	return nil
}
