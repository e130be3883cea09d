package roster_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/roster"
)

// TestContactsIncludeListedInstances guards against domains without contacts before gossip arrives.
func TestContactsIncludeListedInstances(t *testing.T) {
	check := is.New(t)
	listed := []zinniamast.Instance{
		{
			ID:            "edge-a-1",
			FailureDomain: "a",
			Address:       "10.0.0.1:1",
		},
		{
			ID:            "edge-b-1",
			FailureDomain: "b",
			Address:       "10.0.0.2:1",
		},
		{
			ID:            "edge-b-2",
			FailureDomain: "b",
			Address:       "10.0.0.3:1",
		},
	}
	contacts := roster.Contacts("b", listed, nil)
	check.Equal(len(contacts), 2)
	highest := slices.MaxFunc(listed[1:], func(x, y zinniamast.Instance) int {
		if roster.Rank(x.ID) > roster.Rank(y.ID) {
			return 1
		}
		return -1
	})
	check.Equal(contacts[0], highest.Address) // the reader there, if it is alive
}

// TestContactsFollowTheMembers guards against contacts that are gone, leave, or have moved.
func TestContactsFollowTheMembers(t *testing.T) {
	check := is.New(t)
	listed := []zinniamast.Instance{
		{
			ID:            "dead",
			FailureDomain: "b",
			Address:       "10.0.0.1:1",
		},
		{
			ID:            "leaving",
			FailureDomain: "b",
			Address:       "10.0.0.2:1",
		},
		{
			ID:            "moved",
			FailureDomain: "b",
			Address:       "10.0.0.3:1",
		},
	}
	members := []blackboard.Member{
		{
			ID:            "dead",
			FailureDomain: "b",
			Address:       "10.0.0.1:1",
			Dead:          true,
		},
		{
			ID:            "leaving",
			FailureDomain: "b",
			Address:       "10.0.0.2:1",
			Leaving:       true,
		},
		{
			ID:            "moved",
			FailureDomain: "b",
			Address:       "10.0.0.9:1",
		},
	}
	check.Equal(roster.Contacts("b", listed, members), []string{"10.0.0.9:1"})
}
