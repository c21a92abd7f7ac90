package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

// publishFlags are shared by all commands that publish.
type publishFlags struct {
	BasedOn     *uint64       `help:"Version that the change is based on; default: the one in force now. 0: there is none yet."`
	ChangeID    string        `name:"change-id" help:"Names the change; sending it again publishes it once. Default: a new one."`
	Wait        time.Duration `help:"Wait this long until the change is in force; 0: don't." default:"9s"`
	WaitPercent uint32        `help:"Share of the known nodes to wait for." default:"100"`
}

// AfterApply implements kong's hook: a change ID is made once per command.
func (f *publishFlags) AfterApply() error {
	if f.ChangeID != "" {
		return nil
	}
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "make a change ID")
	}
	f.ChangeID = id.String()
	return nil
}

// basedOn returns the given version or asks for the one in force.
func (f *publishFlags) basedOn(current func() (uint64, error)) (uint64, error) {
	if f.BasedOn != nil {
		return *f.BasedOn, nil
	}
	v, err := current()
	if connect.CodeOf(err) == connect.CodeNotFound {
		return 0, nil
	}
	return v, err
}

// percent is 0 without a wait, which tells the node not to wait.
func (f *publishFlags) percent() uint32 {
	if f.Wait <= 0 {
		return 0
	}
	return f.WaitPercent
}

// report prints the decision and turns a lost or lagging change into its exit
// code.
func (a *app) report(what string, p *adminpb.Publication, f *publishFlags) error {
	t := newTable("CHANGE", "DECISION", "VERSION", "IN FORCE")
	decision := "accepted"
	if !p.GetAccepted() {
		decision = "lost"
	}
	t.row(what, decision, p.GetVersion(), fmt.Sprintf("%d/%d", p.GetNodesInForce(), p.GetNodesKnown()))
	if err := a.print(p, t); err != nil {
		return err
	}
	if !p.GetAccepted() {
		return &codedError{exitLost, lostText(what, p)}
	}
	if !inForce(p, f.percent()) {
		return &codedError{exitNotInForce, fmt.Sprintf("%s is accepted as version %d; %d of %d nodes had it in force after %v (galenactl status --lagging names the others)",
			what, p.Version, p.NodesInForce, p.NodesKnown, f.Wait)}
	}
	return nil
}

func inForce(p *adminpb.Publication, percent uint32) bool {
	return uint64(p.NodesInForce)*100 >= uint64(p.NodesKnown)*uint64(percent)
}

func lostText(what string, p *adminpb.Publication) string {
	by := p.GetLostToOperator()
	if by == "" {
		by = "another operator"
	}
	s := fmt.Sprintf("%s lost to version %d by %s", what, p.GetLostToVersion(), by)
	if p.GetLostToChangeId() != "" {
		s += " (change " + p.GetLostToChangeId() + ")"
	}
	if p.GetDetail() != "" {
		s += ": " + p.GetDetail()
	}
	return s + "; look at it and publish again with --based-on " + fmt.Sprint(p.GetVersion())
}

// readDocument reads a JSON object from a file, or standard input for "-".
func (a *app) readDocument(path string) (map[string]json.RawMessage, string, error) {
	in := a.stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, "", usageError{err}
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, admin.MaxDocumentBytes+1))
	if err != nil {
		return nil, "", errors.Wrapf(err, "read %s", path)
	}
	if len(b) > admin.MaxDocumentBytes {
		return nil, "", usageError{errors.Errorf("%s is larger than %d bytes", path, admin.MaxDocumentBytes)}
	}
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(b, &doc); err != nil || doc == nil {
		return nil, "", usageError{errors.Errorf("%s is no JSON object: %v", path, err)}
	}
	return doc, string(b), nil
}

// parseValues reads NAME=VALUE. A value that is JSON is taken as such; any
// other is a string, so that 250ms needs no quotes.
func parseValues(into map[string]json.RawMessage, pairs []string) error {
	for _, p := range pairs {
		name, value, ok := strings.Cut(p, "=")
		if !ok || name == "" {
			return usageError{errors.Errorf("%q must be NAME=VALUE", p)}
		}
		raw := json.RawMessage(value)
		if !json.Valid(raw) {
			quoted, err := json.Marshal(value)
			if err != nil {
				return usageError{errors.Wrapf(err, "%q", p)}
			}
			raw = quoted
		}
		into[name] = raw
	}
	return nil
}
