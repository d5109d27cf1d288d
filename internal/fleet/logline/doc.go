// Package logline writes structured log lines without blocking the process.
// Lines that the reader of the log does not read in time are dropped and
// counted.
package logline
