// Package peer implements the net/rpc client and server by which instances
// exchange health checks, applied log offsets with digests, load reports of
// backend servers, and reachability probes of workers and members. The
// correctness of the system does not depend on these calls.
package peer
