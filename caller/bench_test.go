package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
)

// BenchmarkAdded measures the latency that the router and the caller API add. It
// sends requests through each of them and directly with net/http to the same
// servers, alternating in one run, and reports p50 and p99 in microseconds.
func BenchmarkAdded(b *testing.B) {
	for _, service := range []time.Duration{0, 5 * time.Millisecond} {
		b.Run(fmt.Sprintf("service=%s", service), func(b *testing.B) { measureAdded(b, service) })
	}
}

func measureAdded(b *testing.B, service time.Duration) {
	k := newTestEnv(b, 50, &standin.Backends{ServiceTime: service})
	_, url := k.serve(nil)
	r, _ := k.router("i2")
	servers := k.backends.Servers()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	body := bytes.Repeat([]byte("x"), 1024)
	post := func(url string, n int, token string) error {
		req, err := http.NewRequest("POST", url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header = http.Header{"Request-Id": {fmt.Sprint("r", n)}, "Repeatable": {"true"}, "Authorization": {"Bearer " + token}}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		if err == nil && resp.StatusCode != 200 {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		return err
	}
	paths := []struct {
		name string
		call func(n int) error
	}{
		{"direct", func(n int) error { return post("http://"+servers[n%len(servers)].Addr+"/run/badges", n, "") }},
		{"router", func(n int) error {
			q := request(fmt.Sprint("r", n), true, 5*time.Second)
			q.Body = body
			if a := r.Do(context.Background(), q); a.Outcome != record.RequestDone {
				return fmt.Errorf("%+v", a)
			}
			return nil
		}},
		{"api", func(n int) error { return post(url+"/v1/requests/badges", n, "ta") }},
	}
	const workers = 4
	var mu sync.Mutex
	hist := make([]*hdrhistogram.Histogram, len(paths))
	for i := range hist {
		hist[i] = hdrhistogram.New(1, 60_000_000, 3)
	}
	var wg sync.WaitGroup
	run := func(n int, record bool) {
		for w := range workers {
			wg.Go(func() {
				for i := w; i < n; i += workers {
					for p := range paths {
						p := (p + i) % len(paths) // each path goes first equally often
						begin := time.Now()
						if err := paths[p].call(i); err != nil {
							b.Errorf("%s: %v", paths[p].name, err)
							return
						}
						took := time.Since(begin)
						if record {
							mu.Lock()
							hist[p].RecordValue(took.Microseconds())
							mu.Unlock()
						}
					}
				}
			})
		}
		wg.Wait()
	}
	run(400, false) // opens the connections
	b.ResetTimer()
	run(b.N, true)
	b.StopTimer()
	for p, h := range hist {
		b.ReportMetric(float64(h.ValueAtQuantile(50)), paths[p].name+"-p50-us")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), paths[p].name+"-p99-us")
	}
	b.ReportMetric(float64(hist[1].ValueAtQuantile(99))/float64(hist[0].ValueAtQuantile(99)), "router/direct-p99")
	b.ReportMetric(float64(hist[2].ValueAtQuantile(99))/float64(hist[0].ValueAtQuantile(99)), "api/direct-p99")
}
