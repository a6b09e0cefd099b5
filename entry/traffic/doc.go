// Package traffic carries out the dispatch core's decisions on goroutines of
// their own and reports what came of them.
package traffic
