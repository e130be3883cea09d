package queue_test

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"zinniamast/queue"
)

// observed replaces the world's queue by one whose lines and metrics are kept.
func (w *world) observed() (*logBuffer, *prometheus.Registry) {
	lines := &logBuffer{}
	registry := prometheus.NewRegistry()
	w.queue = queue.New(queue.Config{
		Logger:     slog.New(slog.NewTextHandler(lines, nil)),
		Registerer: registry,
	})
	return lines, registry
}

// logBuffer collects log lines. Timers write them, which virtual time alone does not order after the
// test's reads.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// String returns the lines so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// samples returns the values of a metric by its labels.
func samples(t *testing.T, registry *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	is.New(t).NoErr(err)
	values := map[string]float64{}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			var labels []string
			for _, label := range metric.GetLabel() {
				labels = append(labels, label.GetName()+"="+label.GetValue())
			}
			values[strings.Join(labels, " ")] = metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	return values
}

// Guards against requests that wait or are refused without being counted under their service, class, organisation and reason.
func TestHeldBackRequestsAreCounted(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		_, registry := w.observed()
		w.wait(t.Context(), "served", request("acme", 0))
		w.wait(t.Context(), "late", request("acme", 2))
		check.Equal(samples(t, registry, "zinniamast_queue_waiting"), map[string]float64{
			"class=0 organisation=acme service=svc": 1,
			"class=2 organisation=acme service=svc": 1,
		})
		w.free()
		time.Sleep(2 * time.Second)
		check.Equal(samples(t, registry, "zinniamast_queue_waiting"), map[string]float64{
			"class=0 organisation=acme service=svc": 0,
			"class=2 organisation=acme service=svc": 0,
		})
		check.Equal(samples(t, registry, "zinniamast_queue_had_to_wait_total"), map[string]float64{
			"class=0 organisation=acme service=svc": 1,
			"class=2 organisation=acme service=svc": 1,
		})
		check.Equal(samples(t, registry, "zinniamast_queue_refused_total"), map[string]float64{
			"class=2 organisation=acme reason=not_in_time service=svc": 1,
		})
	})
}

// Guards against metrics that grow with the number of organisations.
func TestOrganisationLabelsAreBounded(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		_, registry := w.observed()
		for i := range 500 {
			never := request(fmt.Sprint("org-", i), 1)
			never.StartBy = time.Time{}
			w.wait(t.Context(), "never", never)
		}
		check.Equal(len(samples(t, registry, "zinniamast_queue_refused_total")), 65) // 64 with a label of their own, and the others
	})
}

// Guards against a state of a class that is not logged, or is logged with every request.
func TestChangesOfStateAreLoggedOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		lines, _ := w.observed()
		count := func(message string, class int) int {
			synctest.Wait()
			return strings.Count(lines.String(), fmt.Sprintf("msg=%q service=svc class=%d", message, class))
		}
		for i := range 80 {
			w.wait(t.Context(), fmt.Sprint("urgent-", i), request("acme", 0))
			if i%2 == 0 {
				w.wait(t.Context(), fmt.Sprint("bulk-", i), request("acme", 2))
			}
			w.free()
			time.Sleep(100 * time.Millisecond)
		}
		check.Equal(count("requests wait for capacity", 0), 1)
		check.Equal(count("class is refused", 2), 1)
		check.Equal(count("starved class goes first", 2), 1)
		check.Equal(count("class is refused no more", 2), 0)
		time.Sleep(30 * time.Second)
		check.Equal(count("class is refused no more", 2), 1)
		check.Equal(count("class is starved no more", 2), 1)
		check.Equal(strings.Count(lines.String(), `msg="capacity suffices again"`), 1)
		check.True(strings.Contains(lines.String(), `msg="class is refused" service=svc class=2 organisation=acme reason=`))
	})
}

// Guards against a wait that is told with another position, or without what went ahead.
func TestWaitingTellsWhatWentAhead(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		w.wait(t.Context(), "urgent", request("acme", 0))
		w.wait(t.Context(), "earlier", request("acme", 1))
		var told queue.Waiting
		w.done.Go(func() {
			var e queue.Entry
			w.queue.Enter(&e, request("acme", 1))
			check.Equal(e.Waiting(), queue.Waiting{})
			turn, err := e.Wait(t.Context())
			for err == nil && turn.Replica == "" {
				turn, err = e.Wait(t.Context())
			}
			check.NoErr(err)
			told = e.Waiting()
			e.Leave()
		})
		time.Sleep(10 * time.Millisecond)
		for range 3 {
			w.free()
		}
		synctest.Wait()
		check.Equal(told, queue.Waiting{
			Waited:      10 * time.Millisecond,
			Position:    3,
			AheadUrgent: 1,
			AheadOwn:    1,
			BegunUrgent: 1,
			BegunSame:   1,
		})
	})
}
