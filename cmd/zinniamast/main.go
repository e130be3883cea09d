// Command zinniamast runs an entry instance, and the tools for operating and testing it.
package main

import (
	"os"

	"zinniamast/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
