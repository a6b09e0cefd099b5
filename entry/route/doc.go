// Package route passes requests about a submission to the entry VM that owns it:
// to the control loop of this VM or, over the peer connection, to another VM.
package route
