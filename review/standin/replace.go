package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

// The case replace: a machine of the core is replaced, the new one first. When the new one has had
// catchUpS twice, the old one is taken away for good. When that is longer than catchUpS ago, the
// operator sends a change to another machine of the core, which loses its disk right after it has
// acknowledged it.
const (
	catchUp         = 4 * time.Second
	beforeRemoval   = 2 * catchUp
	afterRemoval    = catchUp + 50*time.Millisecond // to the change
	downFor         = time.Second
	readBack        = 30 * time.Second // the operator asks for so long; contactMs is 5 s
	replaceMachines = 6
)

func init() { scenes["replace"] = playReplace }

func playReplace(s *stage) ([]string, error) {
	f, err := newFleet(s.record, replaceMachines, 3, 284)
	if err != nil {
		return nil, err
	}
	s.fleet = f
	l := &leaf{
		service: "archive", id: "i-7f3a91c2", addr: f.leafAddr(0), zone: zones[0],
		slots: make(chan struct{}, 4), body: 6000, work: archiveWork,
	}
	if err := l.start(); err != nil {
		return nil, err
	}
	defer l.stop()
	p, err := startPlatform(f, []*leaf{l})
	if err != nil {
		return nil, err
	}
	defer p.stop()
	configuration := archiveConfiguration()
	if err := f.start(configuration); err != nil {
		return nil, err
	}
	go p.watch()
	time.Sleep(3 * time.Second)
	kept, lost, removed := f.machines[0], f.machines[1], f.machines[2]
	added := removed
	if s.trouble {
		if added, err = f.add(removed); err != nil {
			return nil, err
		}
		time.Sleep(beforeRemoval)
		for _, process := range removed.procs {
			process.end(syscall.SIGKILL)
		}
	}
	removedAt := time.Now()
	time.Sleep(time.Until(removedAt.Add(changeDelay())))
	control := []*machine{kept, lost, added}
	configuration["version"] = 7
	if err := f.replaceAt(control[1:2], configuration, 1, 3*time.Second); err != nil {
		return nil, err
	}
	if s.trouble {
		registrar := lost.process("registrar")
		for _, process := range lost.procs {
			process.end(syscall.SIGKILL)
		}
		if err := registrar.removeDisk(); err != nil {
			return nil, err
		}
		time.Sleep(downFor)
		for _, process := range lost.procs {
			if err := process.start(); err != nil {
				return nil, err
			}
		}
	}
	return f.readBack(control, 7), nil
}

// changeDelay is the time from the removal of one machine to the change after which the other loses
// its disk. DELAY_S sets another one, to see from when on the disk may be lost.
func changeDelay() time.Duration {
	if seconds, err := strconv.ParseFloat(os.Getenv("DELAY_S"), 64); err == nil {
		return time.Duration(seconds * float64(time.Second))
	}
	return afterRemoval
}

// readBack asks all control nodes for the configuration, again and again.
func (f *fleet) readBack(control []*machine, acknowledged int) (breaks []string) {
	client := &http.Client{Timeout: 2 * time.Second}
	answers := map[string]int{}
	for end := time.Now().Add(readBack); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, m := range control {
			response, err := client.Get("http://" + m.at(f.ports.control) + "/Configuration.Read")
			if err != nil {
				answers["no answer"]++
				f.record.line("operator: read at %s: %v", m.name, err)
				continue
			}
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			f.record.line("operator: read at %s: %s %.120s", m.name, response.Status, bytes.TrimSpace(text))
			answers[response.Status]++
			var read struct {
				Version int `json:"version"`
			}
			if response.StatusCode == http.StatusOK && json.Unmarshal(text, &read) == nil {
				if read.Version < acknowledged {
					return []string{fmt.Sprintf("version %d is read back, version %d was acknowledged", read.Version, acknowledged)}
				}
				f.record.line("operator: version %d came back", read.Version)
				return nil
			}
		}
	}
	f.record.line("operator: answers %v", answers)
	return []string{fmt.Sprintf("the configuration didn't come back in %v: %v", readBack, answers)}
}
