// Package simulation plays the hand-over of jobs between schedulers in virtual time.
//
// A series runs the real control loops of several entry VMs (package dispatcher, with
// its View and its Cell) in one goroutine, with stand-in workers, links, callers and a
// stand-in log, under troubles that a seed determines. It checks that no task runs on
// two workers at the same time, that none starts in an evacuated failure domain, and that
// no job starts whose requests were all answered as not run. Equal seeds yield equal series.
package simulation
