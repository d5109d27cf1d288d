package ledger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// zstdWindowBytes bounds the memory that a small instance needs to decode a
	// snapshot.
	zstdWindowBytes = 1 << 20

	// maxSnapshotBytes bounds the decoded size of a snapshot.
	maxSnapshotBytes = 64 << 20
)

// Snapshot is the replicated state at an offset of the log.
type Snapshot struct {
	Next          uint64            `cbor:"1,keyasint"` // offset of the first record that is not included
	Epoch         uint64            `cbor:"2,keyasint"`
	Leader        Claim             `cbor:"3,keyasint"`
	NoLeader      bool              `cbor:"4,keyasint"`
	LeaderRecords uint64            `cbor:"5,keyasint"`
	Peers         map[string]string `cbor:"6,keyasint"`
	Jobs          []JobState        `cbor:"7,keyasint"`
	Joins         map[string]Join   `cbor:"8,keyasint,omitempty"` // absent in snapshots of earlier versions
	EarlyCancels  []EarlyCancel     `cbor:"9,keyasint,omitempty"` // in the order of the log; absent in snapshots of earlier versions
}

// snapshotDecMode is like decMode but permits as many jobs as a state may hold.
var snapshotDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// MarshalSnapshot encodes the state before the record at the offset. Of jobs that
// have ended and have no active run only what callers may ask for is kept. It
// fails with *CodecError.
func (s *State) MarshalSnapshot(next uint64) ([]byte, error) {
	n := Snapshot{Next: next, Epoch: s.Epoch, Leader: s.Leader, NoLeader: s.NoLeader, LeaderRecords: s.LeaderRecords, Peers: s.Peers, Joins: s.Joins, EarlyCancels: s.early.list()}
	n.Jobs = make([]JobState, 0, len(s.Jobs))
	for _, js := range s.Jobs {
		if js.Phase.Final() && !js.Active() {
			n.Jobs = append(n.Jobs, js.summary())
			continue
		}
		n.Jobs = append(n.Jobs, *js)
	}
	data, err := cbor.Marshal(n)
	if err != nil {
		return nil, &CodecError{err}
	}
	return data, nil
}

// summary returns an ended job without what is needed only to run it.
func (s *JobState) summary() JobState {
	j := Job{ID: s.Job.ID, Queue: s.Job.Queue, Account: s.Job.Account, Service: s.Job.Service, Priority: s.Job.Priority, AcceptedAt: s.Job.AcceptedAt}
	return JobState{Job: j, Phase: s.Phase, EndedAt: s.EndedAt}
}

// CompressSnapshot compresses the result of MarshalSnapshot. It fails with
// *CodecError.
func CompressSnapshot(data []byte) ([]byte, error) {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(zstdWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, &CodecError{err}
	}
	defer z.Close()
	return z.EncodeAll(data, nil), nil
}

// DecodeSnapshot returns the state in a compressed snapshot and the offset of the
// first record that it does not include. It fails with *CodecError.
func DecodeSnapshot(data []byte) (*State, uint64, error) {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, 0, &CodecError{err}
	}
	defer z.Close()
	plain, err := z.DecodeAll(data, nil)
	if err != nil {
		return nil, 0, &CodecError{err}
	}
	var n Snapshot
	if err := snapshotDecMode.Unmarshal(plain, &n); err != nil {
		return nil, 0, &CodecError{err}
	}
	s := NewState()
	s.Epoch, s.Leader, s.NoLeader, s.LeaderRecords = n.Epoch, n.Leader, n.NoLeader, n.LeaderRecords
	for name, addr := range n.Peers {
		s.Peers[name] = addr
	}
	for name, j := range n.Joins {
		s.Joins[name] = j
	}
	for _, c := range n.EarlyCancels {
		s.early.add(c)
	}
	for i := range n.Jobs {
		s.Apply(Record{Rewrite: &n.Jobs[i]})
	}
	return s, n.Next, nil
}
