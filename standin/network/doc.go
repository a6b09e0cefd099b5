// Package network serves a stand-in's handler on a listener whose connections
// can be made silent, refused or closed on command.
package network
