// Package record defines what instances write to the platform's log: batches
// of typed records, their codecs and their size limits.
package record
