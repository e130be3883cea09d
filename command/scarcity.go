package command

import (
	"fmt"
	"io"

	"zinniamast/operator"
)

// printScarcity prints who was refused lately and the shares that decide it.
func printScarcity(out io.Writer, status *operator.Status) {
	fmt.Fprintln(out, "\nREFUSED IN THE LAST 10 SECONDS")
	printTable(out, "SERVICE\tCLASS\tORGANISATION\tREASON\tREQUESTS", func(w io.Writer) {
		for _, r := range status.RefusedRecently {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", r.Service, r.Class, r.Organisation, r.Reason, r.Count)
		}
	})
	fmt.Fprintln(out, "\nSHARES")
	printTable(out, "SERVICE\tORGANISATION\tUSED\tENTITLED", func(w io.Writer) {
		for _, s := range status.Shares {
			fmt.Fprintf(w, "%s\t%s\t%.1f %%\t%.1f %%\n", s.Service, s.Organisation, 100*s.Used, 100*s.Entitled)
		}
	})
}
