// Wirehost hosts instances of the decision module on the simulator's wire: batches on standard input, replies
// on standard output. The instances share nothing.
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
	dec := simwire.NewDecoder(in)
	hosted := map[uint16]*policy.Assigner{}
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply := simwire.NewReply(dec)
		events := map[uint16][]policy.Event{}
		var order []uint16
		for _, rec := range batch.Records {
			if _, ok := events[rec.Inst]; !ok {
				order = append(order, rec.Inst)
				events[rec.Inst] = nil
			}
			switch e := rec.Event.(type) {
			case nil:
			case simwire.Launch:
				hosted[rec.Inst] = policy.New(e.Deployment)
				events[rec.Inst] = nil
			case simwire.Stop:
				delete(hosted, rec.Inst)
				events[rec.Inst] = nil
			case policy.Event:
				events[rec.Inst] = append(events[rec.Inst], e)
			}
		}
		for _, inst := range order {
			if a := hosted[inst]; a != nil {
				step(reply, inst, a, batch.Now, events[inst])
			}
		}
		if _, err := reply.WriteTo(out); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// step lets an instance decide; a panic becomes its last word.
func step(reply *simwire.Reply, inst uint16, a *policy.Assigner, now policy.Time, events []policy.Event) {
	before := *reply
	defer func() {
		if p := recover(); p != nil {
			*reply = before
			reply.Bail(inst, fmt.Sprint("panic: ", p))
		}
	}()
	reply.Add(inst, a.Step(now, events))
}
