// Package spill decides which jobs of a full cell go to another cell of the region,
// and to which one.
//
// It answers two patterns of load: the callers of one failure domain send more than
// its upstreams can serve while others are idle, as after clients move between
// domains; and a cell has no scheduler for a moment. The package is pure: reports
// and the time go in, decisions come out.
package spill
