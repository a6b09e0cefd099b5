// Command tanagerload is part of tanagerfall.
package main

func main() {}
