// Package schedule decides which waiting jobs are placed, reserved for,
// preempted or migrated, and which workers are quarantined. Given a state and a
// time, it returns the records to propose. Its decisions are deterministic: it
// reads no clock and draws no random numbers.
package schedule
