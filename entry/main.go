// Command entry is the process of an entry VM. It accepts jobs from callers,
// places their tasks on upstreams and answers with the whole result.
package main

import (
	"os"

	"tanagerfall/entry/command"
)

func main() { os.Exit(command.Main()) }
