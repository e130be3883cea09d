package command

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"zinniamast/explain"
)

// Explain prints the history of one request from the logs of several nodes, and
// returns its exit code.
func Explain(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	flags.SetOutput(errOut)
	if flags.Parse(args) != nil {
		return exitUsage
	}
	if flags.NArg() < 2 {
		fmt.Fprintln(errOut, "usage: zinniamast explain REQUEST FILE...")
		return exitUsage
	}
	request := flags.Arg(0)
	var lines []explain.Line
	for _, path := range flags.Args()[1:] {
		var err error
		if lines, err = readLog(lines, path, request); err != nil {
			fmt.Fprintln(errOut, err)
			return exitFailed
		}
	}
	if err := explain.Write(out, request, lines); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}

func readLog(lines []explain.Line, path, request string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return lines, err
	}
	defer file.Close()
	return explain.Read(lines, filepath.Base(path), file, request)
}
