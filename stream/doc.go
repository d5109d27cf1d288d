// Package stream is the client of the append-only log and the list of instances
// in the format of the project's own stand-ins, over HTTP.
package stream
