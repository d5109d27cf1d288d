// Package plan decides which waiting units start on which workers and which
// running ones give way to them. It is pure: it sees no clock and no network.
//
// It answers loads in which urgent gangs arrive while the workers are full of
// longer work: urgent units come first, those within their account's guarantee
// may stop less urgent work, the cheapest first, and room freed for a unit is
// kept for it.
package plan
