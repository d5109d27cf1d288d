package leader

// generationBits is the number of bits of a fencing token that hold the generation
// of a worker. The rest holds the epoch, up to the 53 bits that JSON numbers keep.
const generationBits = 16

// fencingToken returns the fencing token of requests to a worker. It rises with the
// epoch and, within one, with the worker's generation. A worker that has seen it
// refuses all requests that were sent by earlier leaders or to its earlier
// incarnations and are carried out late.
func fencingToken(epoch, generation uint64) uint64 {
	return epoch<<generationBits | min(generation, 1<<generationBits-1)
}

// target returns the recipient of requests to the worker. The caller holds l.mu.
func (l *Leader) target(w *worker) Target {
	return Target{ID: w.id, Addr: w.entry.Addr, Token: fencingToken(l.Epoch, w.generation)}
}
