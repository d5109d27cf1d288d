// Package instance is one entry instance: it wires the feed, the intake, the
// leader and the listeners, and shuts them down gracefully.
package instance
