package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playExpire lets the store fall silent for 4.5 s and all machines lose power for 9.5 s
// after that. The store keeps its records for 20 s. All accepted jobs must be known
// afterwards.
func playExpire(b *bench) error {
	const (
		keep    = 20 * time.Second
		silence = 4500 * time.Millisecond
		dark    = 9500 * time.Millisecond
		jobs    = 300
		after   = 6 * time.Second // from a snapshot to the outage
		settle  = 15 * time.Second
	)
	b.fleet.keepS = int(keep.Seconds())
	b.store.keep = keep
	snapshots := make(chan time.Time, 100)
	b.store.appended = func(topic string) {
		if topic == "keyed.lane" {
			select {
			case snapshots <- time.Now():
			default:
			}
		}
	}
	if err := b.begin(3, 4); err != nil {
		return err
	}
	var accepted []*job
	for range jobs {
		j := b.client.expect(shape{[]shapeStep{{count: 1, work: time.Second, needed: resources{11000, 16000, 1}}}})
		j.due = time.Now().Add(10 * time.Minute)
		if !b.client.submit(j, "/sheet/", 4) {
			return fmt.Errorf("a job was not accepted")
		}
		accepted = append(accepted, j)
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	for len(snapshots) > 0 {
		<-snapshots
	}
	select {
	case at := <-snapshots:
		b.rec.add("a snapshot is stored")
		time.Sleep(time.Until(at.Add(after)))
	case <-time.After(keep):
		return fmt.Errorf("no snapshot was written")
	}
	if b.trouble {
		b.rec.add("store falls silent")
		b.store.setFault(func(*http.Request) storeFault { return storeFault{silent: true} })
		time.Sleep(silence)
		b.store.setFault(nil)
		b.rec.add("store serves all again")
		if err := b.fleet.powerOff(dark); err != nil {
			return err
		}
	} else {
		time.Sleep(silence + dark)
	}
	if err := b.fleet.awaitReady(20 * time.Second); err != nil {
		b.rec.add("%v", err)
	}
	time.Sleep(settle)
	counts := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	for _, j := range accepted {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wg.Done() }()
			status, state := b.client.state(j, b.client.any(), "/sheet/")
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("%d %s", status, state)]++
			if status == http.StatusGone {
				b.rec.add("client: GET of job %s, accepted %.1f s before: 410", j.id, time.Since(j.accepted).Seconds())
			}
		}()
	}
	wg.Wait()
	b.rec.add("answers: %v", counts)
	if n := counts["410 "]; n > 0 {
		b.rules.mu.Lock()
		b.rules.breach("LOST", "%d of %d accepted jobs are answered 410", n, jobs)
		b.rules.mu.Unlock()
	}
	return nil
}
