// Package plan decides which waiting units start on which workers and which
// running units are preempted for them. It is a pure function of its input: it
// reads no clock and sends no requests.
//
// It is made for workloads in which urgent gangs arrive while longer work
// occupies the workers. More urgent units are placed first; within a priority, those of
// jobs that gain the most for the work that they still need. An urgent unit, or
// any other after a short wait, may preempt less urgent work, the cheapest
// first; a unit within its account's guarantee may also preempt work as urgent
// that uses more than its account's guarantee. The resources freed for a unit
// stay reserved for it.
package plan
