// Package system runs a whole deployment in one process: a stand-in platform,
// stand-in workers and entry VMs in several failure domains. It is used by the
// commands of local, by the recorded caller session and by the scripted scenarios.
package system
