// Command local is part of tanagerfall.
package main

func main() {}
