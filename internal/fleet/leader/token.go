package leader

import "jasminelane.example/lane/internal/fleet/ledger"

// fencingToken returns the fencing token of requests to a worker. It rises with the
// epoch and, within one, with the worker's generation. A worker that has seen it
// refuses all requests that were sent by earlier leaders or to its earlier
// incarnations and are carried out late.
func fencingToken(epoch, generation uint64) uint64 {
	return epoch + min(generation, ledger.EpochStep-1)
}

// target returns the recipient of requests to the worker. The caller holds l.mu.
func (l *Leader) target(w *worker) Target {
	return Target{ID: w.id, Addr: w.entry.Addr, Token: fencingToken(l.Epoch, w.generation)}
}
