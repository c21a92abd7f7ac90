package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// memoryMB is the memory of the smallest machines of the site.
	memoryMB = 184
	// largeBody is below max_body_bytes of the manifest, 64 MiB, and usualBody the mean of the sheet.
	largeBody, usualBody = 60 << 20, 60_000
	uploadsAtOnce        = 3
	uploadRounds         = 4
	ownEndsToFail        = 3
)

// memoryCase has clients upload large bodies through machines of 184 MB, three at once
// at each of two machines.
func memoryCase(rec *recorder, dir string, trouble bool) int {
	s := startStore(rec)
	var vms []*vm
	for _, x := range []struct{ name, zone, service string }{
		{"sidecar-a-1", "lakes-a", "station-desk"}, {"sidecar-a-2", "lakes-a", "station-desk"},
		{"sidecar-b-1", "lakes-b", "evidence-vault"}, {"sidecar-b-2", "lakes-b", "evidence-vault"},
	} {
		v := newVM(rec, x.name, x.zone, x.service, s.addr, dir)
		v.memoryMB = memoryMB
		vms = append(vms, v)
	}
	s.put("keyed.op", "config", manifest(7,
		route{"r-up", "/up/", "upload", "5000ms", "1200ms", "evidence-vault"},
		route{"r-look", "/look/", "safe", "1500ms", "1500ms", "station-desk"}))
	ctx, cancel := context.WithCancel(context.Background())
	onExit(cancel)
	startAll(ctx, rec, vms)
	var watches []*memoryWatch
	for _, v := range vms {
		watches = append(watches, watchMemory(ctx, rec, v))
	}
	time.Sleep(8 * time.Second)

	size := usualBody
	if trouble {
		size = largeBody
	}
	body := strings.Repeat("x", size)
	for range uploadRounds {
		var clients sync.WaitGroup
		for n := range 2 * uploadsAtOnce {
			clients.Add(1)
			go func() {
				defer clients.Done()
				attempt(rec, vms[n%2], "POST", "mesh.example", "/up/2f?w=260", body, 5*time.Second)
			}()
		}
		clients.Wait()
		time.Sleep(5 * time.Second) // killed processes are back and know each other
	}
	var findings []string
	for _, w := range watches {
		ends, peak := w.result()
		rec.log("%s: %d own ends, peak %.0f MB", w.vm.name, ends, peak)
		fmt.Printf("%s: %d own ends, peak %.0f MB of %d\n", w.vm.name, ends, peak, memoryMB)
		if ends >= ownEndsToFail {
			findings = append(findings, fmt.Sprintf("Fault: the process of %s exceeded its memory of %d MB and ended %d times, peak %.0f MB", w.vm.name, memoryMB, ends, peak))
		}
	}
	if len(findings) < 2 {
		findings = nil // the rule asks for two machines at least
	}
	return verdict(rec, "Fault", findings)
}

// memoryWatch kills a process that exceeds the memory of its machine, as the platform does, and starts it
// again.
type memoryWatch struct {
	vm *vm

	mu   sync.Mutex
	ends int
	peak float64
}

func watchMemory(ctx context.Context, rec *recorder, v *vm) *memoryWatch {
	w := &memoryWatch{vm: v}
	go func() {
		for ; ctx.Err() == nil; wait(ctx, 5*time.Millisecond) {
			used := v.memoryUsedMB()
			w.mu.Lock()
			w.peak = max(w.peak, used)
			w.mu.Unlock()
			if used <= memoryMB {
				continue
			}
			rec.log("%s: the process holds %.0f MB of %d MB and is killed", v.name, used, memoryMB)
			v.signal(syscall.SIGKILL)
			v.awaitExit(time.Second)
			w.mu.Lock()
			w.ends++
			w.mu.Unlock()
			wait(ctx, 500*time.Millisecond)
			if ctx.Err() == nil {
				v.start(false)
			}
		}
	}()
	return w
}

func (w *memoryWatch) result() (ends int, peak float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends, w.peak
}

// memoryUsedMB returns the resident memory of the node's process. Bytes that the kernel has received for
// it are not in it, though the platform counts them.
func (v *vm) memoryUsedMB() float64 {
	v.mu.Lock()
	pid := v.process.Process.Pid
	v.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return float64(kb) / 1024
		}
	}
	return 0
}
