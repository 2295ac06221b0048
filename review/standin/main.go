// Command standin plays a case of the review: it starts the project's programs with the
// commands of the deploy file, and the clients, leafs and platform around them. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenes are the cases by name. A scene returns a text for each break of the rule.
var scenes = map[string]func(*stage) (breaks []string, err error){}

// stage is what a scene works with.
type stage struct {
	record  *recorder
	trouble bool
	fleet   *fleet
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENE RECORD")
		os.Exit(2)
	}
	chosen, ok := scenes[os.Args[1]]
	record, err := newRecorder(os.Args[2])
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such scene, or no record:", err)
		os.Exit(2)
	}
	s := &stage{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	type result struct {
		breaks []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		breaks, err := chosen(s)
		done <- result{breaks, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	outcome := result{err: fmt.Errorf("interrupted")}
	select {
	case outcome = <-done:
	case <-interrupted:
	case <-time.After(110 * time.Second):
		outcome.err = fmt.Errorf("it took too long")
	}
	if s.fleet != nil {
		s.fleet.stop()
	}
	os.Exit(report(record, outcome.breaks, outcome.err))
}

// report writes the result and returns the exit code.
func report(record *recorder, breaks []string, err error) int {
	defer record.close()
	if err != nil {
		record.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for _, text := range breaks {
		record.line("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	if len(breaks) > 0 {
		return 1
	}
	record.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
