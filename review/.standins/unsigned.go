package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	garbleTime = 5 * time.Second
	// garbledShare is the part of its responses that the faulty backend spoils.
	garbledShare  = 0.02
	garblePeriods = 5
	// filingsPerSecond is what 2 of the site's 31 backends of the ledger get of its 353 filings a second.
	filingsPerSecond = 23
	filingTimeout    = 5 * time.Second
)

// strayBytes are no response of these pages: they echo no X-Request-Id and bear no X-Server-Stamp.
var strayBytes = response(200, []string{"Content-Type: text/plain"}, []byte("stray bytes"))

// playUnsigned makes one of two backends spoil 2 % of its responses: half of the spoiled ones are
// replaced by stray bytes, the others are followed by them. It checks that no client gets a success
// that isn't a backend's signed response to its own request.
func playUnsigned(d *deployment, trouble bool) ([]string, error) {
	work := workTime{mean: 290 * time.Millisecond, max: 2 * time.Second, spread: 0.3}
	entry, err := d.add("sidecar-lakes-a-1", "lakes-a", "station-desk", 38, work)
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"sidecar-lakes-a-2", "sidecar-lakes-a-3"} {
		if _, err := d.add(name, "lakes-a", "recovery-ledger", 41, work); err != nil {
			return nil, err
		}
	}
	filing := route{"recovery-filing", "filing.example", "/filing/", "unsafe", "recovery-ledger", 2 * time.Second}
	history := route{"filing-history", "history.example", "/history/", "safe", "recovery-ledger", 2500 * time.Millisecond}
	if err := d.publish(1, []route{filing, history}); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	var mu sync.Mutex
	var broken []string
	check := func(a attempt) {
		if a.status/100 != 2 {
			return
		}
		var fault string
		switch {
		case a.stamp == "":
			fault = "bears no X-Server-Stamp"
		case a.stamp != stamp(a.id):
			fault = "bears the X-Server-Stamp of another request"
		case !bytes.HasPrefix(a.body, []byte("done "+a.id)):
			fault = "has another body than the backend's"
		default:
			return
		}
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, fmt.Sprintf("MIXED: the %d that the client of %s got %s; body %q", a.status, a.id, fault, a.body))
	}
	stop := make(chan struct{})
	var ended sync.WaitGroup
	for _, c := range []*clients{
		{rec: d.rec, node: entry, method: "POST", route: filing, perSecond: filingsPerSecond, timeout: filingTimeout, meanBody: 300, maxBody: 1800, onAnswer: check},
		{rec: d.rec, node: entry, method: "GET", route: history, perSecond: filingsPerSecond, timeout: filingTimeout, onAnswer: check},
	} {
		ended.Go(func() { c.run(stop) })
	}
	garble := garbler(func(string) (inPlace, late []byte) {
		switch {
		case rand.Float64() >= garbledShare:
			return nil, nil
		case rand.IntN(2) == 0:
			return strayBytes, nil
		}
		return nil, strayBytes
	})
	faulty := d.nodes[1].backend
	for range garblePeriods {
		time.Sleep(garbleTime)
		if trouble {
			d.rec.note("backend at %s begins to garble", faulty.address)
			faulty.garble.Store(&garble)
		}
		time.Sleep(garbleTime)
		faulty.garble.Store(nil)
		d.rec.note("no backend garbles")
	}
	close(stop)
	ended.Wait()
	return broken, nil
}
