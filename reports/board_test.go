package reports_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/reports"
)

// fillBoard returns a board with a report of each of ten replicas a node, in four failure domains.
func fillBoard(nodes int) *reports.Board {
	b := reports.NewBoard()
	b.Put(boardReports(0, 10*nodes))
	return b
}

func boardReports(first, count int) []reports.Report {
	batch := make([]reports.Report, count)
	for i := range batch {
		batch[i] = reports.Report{
			Replica:       fmt.Sprintf("i-%05d", first+i),
			FailureDomain: fmt.Sprintf("domain-%d", (first+i)%4),
			Running:       3,
		}
	}
	return batch
}

// TestReportsAreNotScanned guards against queries whose cost grows with the replicas of the deployment.
func TestReportsAreNotScanned(t *testing.T) {
	for _, nodes := range []int{30, 100, 300} {
		t.Run(fmt.Sprintf("%d_nodes", nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				b := fillBoard(nodes)
				position := b.Since(t.Context(), "", 0, 0).Position
				before := b.Examined()
				for range 20 {
					time.Sleep(300 * time.Millisecond)
					check.Equal(len(b.Put(boardReports(40, 60))), 60)
					answer := b.Since(t.Context(), "", position, 0)
					check.Equal(len(answer.Reports), 60)
					position = answer.Position
				}
				examined := b.Examined() - before
				t.Logf("%d examined for 20 answers of 60 reports", examined)
				check.True(examined <= 20*61)
			})
		})
	}
}

// Guards against storing and answering that copies or indexes each of some 200 reports a second of each failure domain.
func TestStoringReportsAllocatesLittle(t *testing.T) {
	for _, nodes := range []int{30, 100, 300} {
		t.Run(fmt.Sprintf("%d_nodes", nodes), func(t *testing.T) {
			check := is.New(t)
			b := fillBoard(nodes)
			position := b.Since(t.Context(), "", 0, 0).Position
			batch := boardReports(40, 60)
			allocations := testing.AllocsPerRun(200, func() {
				b.Put(batch)
				position = b.Since(t.Context(), "", position, 0).Position
			})
			t.Logf("%.1f allocations for a batch of 60 reports stored and answered", allocations)
			check.True(allocations <= 10)
		})
	}
}

// TestOldReportsAreNotKept guards against answers and memory that grow with the reports received of each replica.
func TestOldReportsAreNotKept(t *testing.T) {
	for _, nodes := range []int{30, 100, 300} {
		t.Run(fmt.Sprintf("%d_nodes", nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				b := fillBoard(nodes)
				replicas := 10 * nodes
				for i := range 10 * replicas / 50 { // ten reports of each replica
					time.Sleep(10 * time.Millisecond)
					b.Put(boardReports(i*50%replicas, 50))
				}
				before := b.Examined()
				check.Equal(len(b.Since(t.Context(), "", 0, 0).Reports), replicas)
				check.True(b.Examined()-before <= uint64(2*replicas))
			})
		})
	}
}

// Guards against an answer that replaces newer reports with those that arrived late beside them.
func TestOlderReportOfBatchIsDropped(t *testing.T) {
	check := is.New(t)
	b := reports.NewBoard()
	b.Put(boardReports(0, 3))
	batch := boardReports(0, 5)
	batch[0].Age = time.Minute
	batch[2].Age = time.Minute
	newer := b.Put(batch)
	check.Equal(len(newer), 3)
	for i, replica := range []string{"i-00001", "i-00003", "i-00004"} {
		check.Equal(newer[i].Replica, replica)
	}
	check.Equal(batch[0].Replica, "i-00000") // the caller's reports are as they were
	check.Equal(batch[4].Replica, "i-00004")
	check.Equal(len(b.Since(t.Context(), "", 0, 0).Reports), 5)
}

// TestExpiredReportsAreNotPassedOn guards against load of replicas that no longer exist.
func TestExpiredReportsAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := fillBoard(1)
		time.Sleep(4900 * time.Millisecond)
		b.Put(boardReports(0, 1)) // removes what has expired by now, which is nothing
		check.Equal(len(b.Since(t.Context(), "", 0, 0).Reports), 10)
		time.Sleep(200 * time.Millisecond)
		check.Equal(len(b.Since(t.Context(), "", 0, 0).Reports), 1)
		b.Put(boardReports(20, 1))
		check.Equal(len(b.Since(t.Context(), "", 0, 0).Reports), 2)
	})
}

// TestRestartedBoardIsReadFromItsStart guards against a peer that misses the reports of a node that started anew.
func TestRestartedBoardIsReadFromItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		old := fillBoard(30)
		position := old.Since(t.Context(), "", 0, 0).Position
		time.Sleep(time.Second)
		b := fillBoard(30)
		check.Equal(len(b.Since(t.Context(), "", position, 0).Reports), 300)
		check.Equal(len(b.Since(t.Context(), "domain-1", position+1e18, 0).Reports), 75) // of a board ahead of this one
	})
}

// BenchmarkSince measures an answer of 60 new reports, with their storing.
func BenchmarkSince(b *testing.B) {
	for _, nodes := range []int{30, 300} {
		b.Run(fmt.Sprintf("%d_nodes", nodes), func(b *testing.B) {
			board := fillBoard(nodes)
			position := board.Since(b.Context(), "", 0, 0).Position
			batch := boardReports(40, 60)
			b.ReportAllocs()
			for b.Loop() {
				board.Put(batch)
				position = board.Since(b.Context(), "", position, 0).Position
			}
		})
	}
}
