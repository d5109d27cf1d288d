package measure

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"jasminelane.example/lane/peer"
	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/schedule"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/snapshot"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
	"jasminelane.example/lane/worker"
)

// Sample holds what was measured at one size.
type Sample struct {
	Size          Size
	CostByKind    map[record.Kind]Cost
	StateBytes    float64 // live heap that the state uses
	SnapshotBytes float64 // compressed, in the log
	SplitMillis   float64 // time to encode a snapshot and split it into chunks
	LoadMillis    float64 // time to decode and load the snapshot
	LoadHeapBytes float64 // heap obtained from the operating system for loading, an upper bound
	DecideMicros  float64 // processor time of a round that places one urgent job
}

// Exchange is the cost of one request with its response, which does not depend on
// the size of the fleet.
type Exchange struct {
	Name   string
	Bytes  float64 // sent and received, with headers
	Micros float64 // processor time of both sides together
}

// MeasureFleet measures a fleet of the size.
func MeasureFleet(z Size) (*Sample, error) {
	before := liveHeap()
	f, err := newFleet(z)
	if err != nil {
		return nil, err
	}
	s := &Sample{Size: z, CostByKind: map[record.Kind]Cost{}, StateBytes: liveHeap() - before}
	if err := s.measureSnapshot(f.state); err != nil {
		return nil, err
	}
	if err := s.measureRounds(f.state, z); err != nil {
		return nil, err
	}
	if err := f.finishJobs(200); err != nil {
		return nil, err
	}
	if err := f.claimRequests(2000); err != nil {
		return nil, err
	}
	for k, c := range f.costs {
		s.CostByKind[k] = *c
	}
	return s, nil
}

// liveHeap returns the size of the live heap in bytes, after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// millis returns the duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// measureSnapshot measures writing and loading a snapshot of the state.
func (s *Sample) measureSnapshot(st *state.State) error {
	begin := time.Now()
	chunks, err := snapshot.Split(st, "measure")
	if err != nil {
		return err
	}
	s.SplitMillis = millis(time.Since(begin))
	var data []byte
	for _, c := range chunks {
		data = append(data, c.Data...)
		s.SnapshotBytes += float64(len(c.Data))
	}
	before := liveHeap()
	begin = time.Now()
	loaded, err := snapshot.Decode(data)
	if err != nil {
		return err
	}
	s.LoadMillis = millis(time.Since(begin))
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.LoadHeapBytes = float64(m.HeapSys) - before
	runtime.KeepAlive(loaded)
	return nil
}

// measureRounds measures rounds of the scheduler that place one urgent job while all
// the others run.
func (s *Sample) measureRounds(st *state.State, z Size) error {
	const rounds = 50
	scheduler := &schedule.Scheduler{Index: placement.NewIndex(st), Policy: placement.Policy{CompletionWeight: 1, FragmentationWeight: 1}}
	rec, err := record.New(record.KindSubmit, "", record.Submit{
		Job: "urgent", Account: "team0", Kind: "sheet", Shape: shape.Shape{Members: 4, GPUs: 4, Level: shape.LevelRack}, Urgent: true,
	})
	if err != nil {
		return err
	}
	decisions, err := st.Apply(st.Offset, &record.Batch{Writer: "measure", Seq: 1, At: st.Now, Records: []record.Record{rec}})
	if err != nil {
		return err
	}
	if !decisions[0].Accepted() {
		return &ApplyError{Decision: decisions[0]}
	}
	begin := cpuTime()
	for i := range rounds {
		scheduler.Decide(st, st.Now+int64(i))
	}
	s.DecideMicros = float64((cpuTime() - begin).Microseconds()) / rounds
	st.OnWorkerChange, st.OnJobChange = nil, nil
	return nil
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// byteCounter counts the bytes of the connections that it opens.
type byteCounter struct{ bytes atomic.Int64 }

func (c *byteCounter) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c}, nil
}

func (c *byteCounter) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return c.dial(ctx, addr) },
	}}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter *byteCounter
}

// Read counts the bytes read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// MeasureExchanges measures exchanges over loopback: a sync of a worker with 16
// tasks, with changed and with unchanged grants, a poll of the log that returns one
// entry, and a ping of an instance.
func MeasureExchanges(ctx context.Context) ([]Exchange, error) {
	f, err := newFleet(Size{Workers: 8, GPUs: 16, Tasks: 128, Accounts: 1})
	if err != nil {
		return nil, err
	}
	full, err := measureSync(ctx, f.state, "full sync", true)
	if err != nil {
		return nil, err
	}
	short, err := measureSync(ctx, f.state, "short sync", false)
	if err != nil {
		return nil, err
	}
	poll, err := measurePoll(ctx)
	if err != nil {
		return nil, err
	}
	ping, err := measurePing(ctx)
	if err != nil {
		return nil, err
	}
	return []Exchange{full, short, poll, ping}, nil
}

// measureExchange returns the mean cost of an exchange over 500 runs, after a first
// one that opens the connection.
func measureExchange(name string, c *byteCounter, exchange func() error) (Exchange, error) {
	const n = 500
	if err := exchange(); err != nil {
		return Exchange{}, err
	}
	bytes, begin := c.bytes.Load(), cpuTime()
	for range n {
		if err := exchange(); err != nil {
			return Exchange{}, err
		}
	}
	return Exchange{name, float64(c.bytes.Load()-bytes) / n, float64((cpuTime() - begin).Microseconds()) / n}, nil
}

// measureSync measures syncs of a worker whose grants change each time, or never.
func measureSync(ctx context.Context, s *state.State, name string, changeGrants bool) (Exchange, error) {
	server := httptest.NewServer(&standin.Workers{})
	defer server.Close()
	c := &byteCounter{}
	client := &worker.Client{HTTP: c.client()}
	addr := strings.TrimPrefix(server.URL, "http://")
	q := worker.NewSyncRequest(s, s.Workers[0], 15_000, "")
	return measureExchange(name, c, func() error {
		if changeGrants {
			q.Grants[0].ExpectedMs++
		}
		_, err := client.Sync(ctx, addr, q)
		return err
	})
}

func measurePoll(ctx context.Context) (Exchange, error) {
	log := &standin.Log{}
	server := httptest.NewServer(log)
	defer server.Close()
	c := &byteCounter{}
	client := &stream.Log{URL: server.URL, Client: c.client()}
	log.Append([]byte{0})
	return measureExchange("poll", c, func() error {
		_, err := client.Read(ctx, 0, 100, 0)
		return err
	})
}

func measurePing(ctx context.Context) (Exchange, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Exchange{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &peer.Server{Writer: "e1-7KQ2M4ZB5DTA"}
	go func() { _ = server.Serve(ctx, l) }()
	c := &byteCounter{}
	client := &peer.Client{Dial: c.dial}
	defer client.Close()
	return measureExchange("ping", c, func() error { return client.Ping(ctx, l.Addr().String(), "e1-7KQ2M4ZB5DTA") })
}
