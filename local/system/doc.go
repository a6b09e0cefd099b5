// Package system runs a whole deployment in one process: a stand-in platform,
// stand-in workers and entry VMs in several failure domains. It serves
// newcomers, golden sessions and scripted scenarios.
package system
