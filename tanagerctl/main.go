// Command tanagerctl is part of tanagerfall.
package main

func main() {}
