// Command standin is part of tanagerfall.
package main

func main() {}
