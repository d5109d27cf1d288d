// Package relay reaches the platform's store through another instance when the
// store turns this one away. It carries calls as they are and does not look
// into them.
package relay
