package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// The case long-line: a third of the leafs of a service are in trouble for a while, and one in
// fifty of their answers is a line without an end.
const (
	leafsAffected = 5                       // of them: a share of 0.33
	spoiltShare   = 50                      // one answer in so many of a leaf in trouble: 0.02
	spellLength   = 5500 * time.Millisecond // of trouble
	spellPause    = 6 * time.Second
	spells        = 6
	lineRate      = 100e6 // bytes a second of a spoilt answer; a machine's link takes 125e6
	chunkBytes    = 64 << 10
	ownEndsToFail = 3
)

func init() { scenes["long-line"] = playLongLine }

func playLongLine(s *stage) ([]string, error) {
	f, err := newFleet(s.record, 10, 3, 284)
	if err != nil {
		return nil, err
	}
	s.fleet = f
	var inTrouble atomic.Bool
	var answers, spoilt atomic.Int64
	var leafs []*leaf
	for i := range archiveLeafs {
		l := &leaf{
			record: s.record, service: "archive", id: fmt.Sprintf("i-%08x", rand.Uint32()),
			addr: f.leafAddr(i), zone: zones[i%len(zones)], slots: make(chan struct{}, 4), body: 6000,
			work: func() time.Duration { return 80*time.Millisecond + rand.N(160*time.Millisecond) },
		}
		if i < leafsAffected {
			l.onAnswer = func(conn net.Conn, r *run) bool {
				if !inTrouble.Load() || answers.Add(1)%spoiltShare != 1 {
					return false
				}
				spoilt.Add(1)
				n := sendLongLine(conn)
				s.record.line("leaf: %s spoilt its answer to %s: %d MB of a line", l.id, r.id, n>>20)
				return true
			}
		}
		if err := l.start(); err != nil {
			return nil, err
		}
		defer l.stop()
		leafs = append(leafs, l)
	}
	p, err := startPlatform(f, leafs)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	if err := f.start(archiveConfiguration()); err != nil {
		return nil, err
	}
	go p.watch()
	t := &traffic{
		record: s.record, platform: p, port: f.ports.frontend, method: "GET", host: "file10.example",
		path: "/gozi722/", deadline: 4 * time.Second, rate: 161,
	}
	go func() {
		time.Sleep(3 * time.Second)
		for range spells {
			inTrouble.Store(s.trouble)
			s.record.line("leafs: trouble begins: %t", s.trouble)
			time.Sleep(spellLength)
			inTrouble.Store(false)
			s.record.line("leafs: trouble ends")
			time.Sleep(spellPause)
		}
	}()
	t.run(3*time.Second + spells*(spellLength+spellPause))
	s.record.line("statuses: %v, spoilt answers: %d", t.counts(), spoilt.Load())
	fmt.Println("statuses:", t.counts(), "spoilt answers:", spoilt.Load())
	return ownEnds(s, f), nil
}

// ownEnds applies the rule: three ends by themselves on a tenth of the machines, two at least.
func ownEnds(s *stage, f *fleet) (breaks []string) {
	failed := 0
	for _, m := range f.machines {
		ends := 0
		for _, process := range m.procs {
			process.mu.Lock()
			ends += process.ownEnds
			process.mu.Unlock()
		}
		s.record.line("platform: processes on %s ended by themselves %d times", m.name, ends)
		if ends >= ownEndsToFail {
			failed++
		}
	}
	if failed >= 2 {
		breaks = append(breaks, fmt.Sprintf("on %d of %d machines processes ended by themselves three times", failed, len(f.machines)))
	}
	return breaks
}

// sendLongLine sends bytes that form no answer until the connection ends.
func sendLongLine(conn net.Conn) (sent int) {
	chunk := bytes.Repeat([]byte("x"), chunkBytes)
	n, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Pad: "))
	begun := time.Now()
	for sent = n; err == nil; sent += n {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		n, err = conn.Write(chunk)
		time.Sleep(time.Until(begun.Add(time.Duration(float64(sent) / lineRate * float64(time.Second)))))
	}
	return sent
}
