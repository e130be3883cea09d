package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinniamast"
)

// The parts of the prompts of a fleet.
const (
	commonPart   = "c0ffee"
	otherPart    = "beefed"
	crashingPart = "badbad"
)

// A part is known to crash replicas after its fifth crash, and settleTime later at most
// allowedLateSends of its requests may reach a replica.
const crashesOfPart = 5

// promptTraffic is a fleet's traffic of requests whose prompts have parts.
type promptTraffic struct {
	*fleet
	// pause is the time between two requests with a crashing part, which come from crashFrom on.
	pause time.Duration
	// lead is the number of other parts before the crashing one.
	lead int

	sound []soundCall
}

// soundCall is a request without a crashing part that shares its first part and its caller
// with those that have one.
type soundCall struct {
	at              time.Duration
	heldBack, whole bool
}

const (
	crashFrom  = 15 * time.Second
	crashUntil = 50 * time.Second
)

// crashers sends requests of which no two are alike, with a part that crashes replicas.
func (p *promptTraffic) crashers(done *sync.WaitGroup, part string) {
	time.Sleep(crashFrom)
	prompt := commonPart + ":600,"
	for i := range p.lead {
		prompt += fmt.Sprintf("5eed%d:100,", i)
	}
	for number := 0; time.Since(p.start) < crashUntil; number++ {
		id := fmt.Sprint(part, "-", number)
		done.Go(func() { p.callWithPrompt(id, id, fmt.Sprintf("%s%s:300,a%x:50", prompt, part, number), time.Second) })
		time.Sleep(p.pause)
	}
}

// soundCallers sends sound requests, of which two thirds have the common part first. Each has
// one of some middle parts, and is tried once more if it is not answered.
func (p *promptTraffic) soundCallers(done *sync.WaitGroup, perSecond int) {
	for number := 0; time.Since(p.start) < crashUntil; number++ {
		time.Sleep(time.Second / time.Duration(perSecond))
		p.mu.Lock()
		duration := time.Duration(200+p.random.IntN(1800)) * time.Millisecond
		p.mu.Unlock()
		first := commonPart
		if number%3 == 0 {
			first = otherPart
		}
		done.Go(func() {
			call := soundCall{
				at: time.Since(p.start),
			}
			id := fmt.Sprint("sound-", number)
			prompt := fmt.Sprintf("%s:600,f%x:200,b%x:50", first, number/20, number)
			call.heldBack, call.whole = p.callWithPrompt(id, id, prompt, duration)
			if !call.whole && !call.heldBack {
				call.heldBack, call.whole = p.callWithPrompt(id+"-again", id, prompt, duration)
			}
			if first == commonPart {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.sound = append(p.sound, call)
			}
		})
	}
}

// servedShare returns the share of the sound requests of a time that got a whole answer.
func (p *promptTraffic) servedShare(from, until time.Duration) float64 {
	sent, served := 0, 0
	for _, call := range p.sound {
		if call.at >= from && call.at < until {
			sent++
			if call.whole {
				served++
			}
		}
	}
	return float64(served) / float64(max(1, sent))
}

// lateSends returns how often requests with a part reached a replica later than settleTime
// after it had crashed crashesOfPart of them.
func (p *promptTraffic) lateSends(part string) int {
	count := 0
	for _, at := range p.arrivals[part] {
		if crashes := p.crashes[part]; len(crashes) >= crashesOfPart && at > crashes[crashesOfPart-1]+settleTime {
			count++
		}
	}
	return count
}

// playCrashingPart plays a fleet with requests that share only a part of their prompts that
// crashes replicas, beside sound ones.
func playCrashingPart(t *testing.T, pause time.Duration, lead int, check func(p *promptTraffic)) {
	seeds := []uint64{1, 2, 3}
	if testing.Short() {
		seeds = seeds[:1]
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &promptTraffic{
					fleet: newFleet(t, fleetConfig{
						seed:  seed,
						slots: 8,
						parts: []string{crashingPart},
					}),
					pause: pause,
					lead:  lead,
				}
				var done sync.WaitGroup
				done.Go(func() { p.crashers(&done, crashingPart) })
				p.soundCallers(&done, 18)
				done.Wait()
				time.Sleep(time.Minute)
				crashes := p.crashes[crashingPart]
				from := crashFrom
				if len(crashes) > 0 {
					from = crashes[min(len(crashes), crashesOfPart)-1] + 2*settleTime
				}
				t.Logf("%d crashes, reached a replica %d times, %d of them late; sound requests served: %.3f before, %.3f after",
					len(crashes), len(p.arrivals[crashingPart]), p.lateSends(crashingPart), p.servedShare(0, crashFrom-time.Second), p.servedShare(from, crashUntil))
				check(p)
			})
		})
	}
}

// Guards against requests that go on crashing replicas because they share only a part of their prompts.
func TestCrashingPromptPartStopsAtItsFifthCrash(t *testing.T) {
	for _, pause := range []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		for lead := range 2 {
			t.Run(fmt.Sprint(pause, " part ", lead+2), func(t *testing.T) {
				playCrashingPart(t, pause, lead, func(p *promptTraffic) {
					p.is.True(p.lateSends(crashingPart) <= allowedLateSends) // sends after the fifth crash was known
				})
			})
		}
	}
}

// Guards against sound requests that are no longer served because they share their caller and first part with crashing ones.
func TestSoundRequestsAreServedBesideCrashingPart(t *testing.T) {
	for _, pause := range []time.Duration{150 * time.Millisecond, time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			playCrashingPart(t, pause, 0, func(p *promptTraffic) {
				crashes := p.crashes[crashingPart]
				after := crashes[min(len(crashes), crashesOfPart)-1] + 2*settleTime
				p.is.True(p.servedShare(after, crashUntil) >= 0.9*p.servedShare(0, crashFrom-time.Second))
			})
		})
	}
}

// Guards against refusing a sound request whose new part stood in a crash, because the replicas left for suspects take none.
func TestSuspectPartUsesOtherReplicasIfItsOwnTakeNone(t *testing.T) {
	for part := range 20 {
		synctest.Test(t, func(t *testing.T) {
			breaksOff := func(_ context.Context, r *scripted, _ *http.Request, _ int) (*http.Response, error) {
				return nil, r.failure(zinniamast.FailureReset, io.ErrUnexpectedEOF)
			}
			o := newOverlap(t, 6, 3, breaksOff, goesOn(0, takeoverEvents, 0))
			o.ids = []string{"i-a", "i-b"} // The router finds no other replica.
			prompt := fmt.Sprintf("%s:600,5eed%d:100,1:50", commonPart, part)
			o.is.Equal(o.callWithPrompt(pathResumable, "r-1", prompt).body, events(takeoverEvents))
		})
	}
}
