// Package schedule orders waiting jobs and turns a state and a time into
// records to propose. It is pure: it reads no clock and draws no random
// numbers.
package schedule
