package main

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// playPause stops an instance for 4 s while the store falls silent for 4.5 s, and then
// sends a configuration that withdraws a key and adds a queue. The instance has to know
// it in time.
func playPause(b *bench) error {
	const (
		freeze    = 4 * time.Second
		silence   = 4500 * time.Millisecond
		overlap   = 400 * time.Millisecond // from the stop of the instance to the silence
		contact   = 3 * time.Second        // bound contactMs
		apply     = 2 * time.Second        // bound configApplyMs
		watched   = 6 * time.Second
		rounds    = 2
		nextRound = 3 * time.Second
	)
	if err := b.begin(3, 4); err != nil {
		return err
	}
	oldKeys := []string{"old-1", "old-2"}
	first := configuration(5)
	setKeys(first, oldKeys)
	b.store.put("keyed.op", "config", first)
	time.Sleep(apply)
	for round := range rounds {
		n := b.fleet.instances[round%len(b.fleet.instances)]
		if b.trouble {
			n.signal(syscall.SIGSTOP)
			woken := time.AfterFunc(freeze, func() { n.signal(syscall.SIGCONT) })
			defer woken.Stop()
			time.Sleep(overlap)
			b.rec.add("store falls silent")
			b.store.setFault(func(r *http.Request) storeFault { return storeFault{silent: !strings.Contains(r.URL.Path, "machines")} })
			time.Sleep(silence)
			b.store.setFault(nil)
		}
		calm := time.Now()
		b.rec.add("store serves all again")
		time.Sleep(time.Second)
		version := 10 + round
		prefix := fmt.Sprintf("/queue%d/", round)
		cfg := configuration(version)
		routes := cfg["routes"].([]any)
		more := maps.Clone(routes[0].(map[string]any))
		more["name"], more["pathPrefix"] = fmt.Sprintf("r-%d", round), prefix
		cfg["routes"] = append(routes, more)
		withdrawn := oldKeys[0]
		oldKeys = oldKeys[1:]
		setKeys(cfg, oldKeys)
		b.store.put("keyed.op", "config", cfg)
		acked := time.Now()
		b.rec.add("configuration %d with the queue %s and without the key %s is stored", version, prefix, withdrawn)
		from := acked.Add(apply + 50*time.Millisecond)
		if t := calm.Add(contact + 50*time.Millisecond); t.After(from) {
			from = t
		}
		time.Sleep(time.Until(from))
		j := b.client.expect(shape{[]shapeStep{{count: 1, work: time.Second, needed: resources{11000, 16000, 1}}}})
		b.client.key = withdrawn
		accepted := b.client.attempt(j, n, "/proof/")
		b.client.key = clientKey
		refused := 0
		for end := from.Add(watched); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
			sent := time.Now()
			status, _ := b.client.call(n, http.MethodGet, prefix, nil)
			b.rec.add("client: GET %s at %s, sent %.2f s after the ack and %.2f s after the store's return: %d (ready: %t)", prefix, n.name, sent.Sub(acked).Seconds(), sent.Sub(calm).Seconds(), status, n.isReady())
			if status == http.StatusNotFound {
				refused++
			}
		}
		b.rules.mu.Lock()
		if accepted >= 200 && accepted < 300 {
			b.rules.breach("CONFIG", "%s answered a job with a withdrawn key with %d, sent more than %v after the ack and %v after the store's return", n.name, accepted, apply, contact)
		}
		if refused > 0 {
			b.rules.breach("CONFIG", "%s answered %d requests for the new queue with 404, all sent more than %v after the ack and %v after the store's return", n.name, refused, apply, contact)
		}
		b.rules.mu.Unlock()
		time.Sleep(nextRound)
	}
	return nil
}

// setKeys gives a configuration a second tenant with the keys.
func setKeys(cfg map[string]any, keys []string) {
	second := map[string]any{"name": "guild", "apiKeys": keys, "guaranteed": map[string]any{"gpu": 0}}
	cfg["tenants"] = append(cfg["tenants"].([]any), second)
}
