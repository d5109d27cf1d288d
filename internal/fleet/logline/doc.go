// Package logline writes structured log lines without ever blocking the
// process: lines that its reader does not take in time are dropped and counted.
package logline
