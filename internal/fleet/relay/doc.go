// Package relay calls the platform's store. If the store does not serve this
// instance, the calls go through another instance, a peer. The package forwards
// calls unchanged and does not inspect their paths or bodies.
package relay
