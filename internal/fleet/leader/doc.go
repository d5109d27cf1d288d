// Package leader is what the leading instance does for one epoch: it keeps a
// session with every worker, plans, has each start stored before it gives the
// order, renews leases, and stores each end before the worker may forget it.
//
// Lock order: the feed's lock before the leader's. No lock is held during I/O.
package leader
