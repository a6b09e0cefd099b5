// Package network serves the handler of a stand-in on a listener that injects
// network faults: it can make connections silent, refuse new ones and close
// all of them.
package network
