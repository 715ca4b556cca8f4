// Command simhost runs instances of the policy for the simulator. It reads batches of events from standard input and
// writes the decisions to standard output. The instances share no state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"elmfold/internal/policy"
	"elmfold/internal/simwire"
)

func main() {
	if err := serve(bufio.NewReaderSize(os.Stdin, 1<<16), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

func serve(in io.Reader, out io.Writer) error {
	decoder := simwire.NewDecoder(in)
	assigners := map[uint16]*policy.Assigner{} // by instance
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply := simwire.NewReply(decoder)
		events := map[uint16][]policy.Event{}
		var instances []uint16 // in the order of their first record
		for _, record := range batch.Records {
			instance := record.Inst
			if _, ok := events[instance]; !ok {
				instances = append(instances, instance)
				events[instance] = nil
			}
			switch e := record.Event.(type) {
			case nil:
			case simwire.Launch:
				assigners[instance] = policy.New(e.Deployment)
				events[instance] = nil
			case simwire.Stop:
				delete(assigners, instance)
				events[instance] = nil
			case policy.Event:
				events[instance] = append(events[instance], e)
			}
		}
		for _, instance := range instances {
			if assigner := assigners[instance]; assigner != nil {
				step(reply, instance, assigner, batch.Now, events[instance])
			}
		}
		if _, err := reply.WriteTo(out); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// step adds the decisions of one instance to the reply. If the instance panics, the reply has the panic instead.
func step(
	reply *simwire.Reply,
	instance uint16,
	assigner *policy.Assigner,
	now policy.Time,
	events []policy.Event,
) {
	before := *reply
	defer func() {
		if p := recover(); p != nil {
			*reply = before
			reply.Bail(instance, fmt.Sprint("panic: ", p))
		}
	}()
	reply.Add(instance, assigner.Step(now, events))
}
