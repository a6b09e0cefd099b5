// Command entry is part of tanagerfall.
package main

func main() {}
