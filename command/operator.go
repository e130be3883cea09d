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

// Exit codes of config put beyond those of every subcommand.
const (
	exitPending   = 3
	exitConflict  = 4
	exitWarned    = 5
	exitUncertain = 6
)

// Environment variables that stand in for flags.
const (
	nodeVariable = "ZINNIAMAST_NODE"
	keyVariable  = "ZINNIAMAST_KEY_FILE"
)

// operatorTimeout bounds one call to a node; a put waits for all nodes.
const operatorTimeout = 30 * time.Second

// operatorFlags are the flags of every command that asks a node.
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

// client connects as the flags say.
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
		key, err := firstLine(*f.keyFile)
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

// firstLine reads a key; keys are not taken from the command line, where other
// users of the machine could read them.
func firstLine(path string) (string, error) {
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

// ask runs one command against a node; its errors end the command.
func (f operatorFlags) ask(errOut io.Writer, command func(ctx context.Context, client *operator.Client) (int, error)) int {
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

// table prints rows in columns.
func table(out io.Writer, head string, rows func(w io.Writer)) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	_ = w.Flush()
}

// timeOfDay writes a moment, or a dash for none.
func timeOfDay(moment time.Time) string {
	if moment.IsZero() {
		return "-"
	}
	return moment.UTC().Format("2006-01-02T15:04:05.000Z")
}
