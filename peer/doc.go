// Package peer carries messages between instances over net/rpc: liveness, the
// applied offset and digest, the load of backend servers, and probes of workers.
// Nothing that affects correctness depends on it.
package peer
