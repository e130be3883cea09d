package command

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"zinniamast/operator"
	"zinniamast/settings"
)

// Additional exit codes of config put.
const (
	exitPending   = 3
	exitConflict  = 4
	exitWarned    = 5
	exitUncertain = 6
)

// Environment variables with the default values of flags.
const (
	nodeVariable = "ZINNIAMAST_NODE"
	keyVariable  = "ZINNIAMAST_KEY_FILE"
)

// operatorTimeout limits one call to a node. It leaves time for a put, which waits
// for the confirmations of all nodes.
const operatorTimeout = 30 * time.Second

// operatorFlags are the flags of every command that calls a node.
type operatorFlags struct {
	node     *string
	keyFile  *string
	settings *string
	json     *bool
}

func addOperatorFlags(flags *flag.FlagSet) operatorFlags {
	return operatorFlags{
		node:     flags.String("node", os.Getenv(nodeVariable), "`ADDRESSES` of nodes' peer listeners, separated by commas; the first that answers is asked ("+nodeVariable+")"),
		keyFile:  flags.String("key-file", os.Getenv(keyVariable), "`FILE` whose first line is an operator key ("+keyVariable+")"),
		settings: flags.String("settings", "", "`FILE` of a node's settings to take address and operator key from instead"),
		json:     flags.Bool("json", false, "print JSON"),
	}
}

// client returns a client for the nodes and the key that the flags name.
func (f operatorFlags) client() (*operator.Client, error) {
	var config operator.ClientConfig
	if *f.settings != "" {
		loaded, err := settings.Load(*f.settings)
		if err != nil {
			return nil, err
		}
		config.Addresses = []string{loaded.PeerListen}
		config.Key = loaded.OperatorKeys[0]
	}
	if *f.node != "" {
		config.Addresses = strings.Split(*f.node, ",")
	}
	if *f.keyFile != "" {
		key, err := readKey(*f.keyFile)
		if err != nil {
			return nil, err
		}
		config.Key = key
	}
	if len(config.Addresses) == 0 || config.Key == "" {
		return nil, errors.New("give -node and -key-file, or -settings")
	}
	return operator.NewClient(config)
}

// readKey reads an operator key from the first line of a file. Keys are not
// accepted on the command line, where other users of the machine could read them.
func readKey(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	if !scanner.Scan() {
		return "", fmt.Errorf("%s: is empty; write the operator key in its first line", path)
	}
	return strings.TrimSpace(scanner.Text()), nil
}

// withClient runs command with a client and returns its exit code. An error of
// the command is printed and results in exitFailed.
func (f operatorFlags) withClient(errOut io.Writer, command func(ctx context.Context, client *operator.Client) (int, error)) int {
	client, err := f.client()
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	code, err := command(ctx, client)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return code
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints a header and rows in aligned columns. The cells of a line are
// separated by tabs.
func printTable(out io.Writer, header string, rows func(w io.Writer)) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	_ = w.Flush()
}

// formatTime formats t in UTC, or returns a dash for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}
