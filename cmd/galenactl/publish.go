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
	BasedOn     *uint64       `help:"Version that the change is based on; default: the one in force now. 0 means that none has been published yet."`
	ChangeID    string        `name:"change-id" help:"ID of the change; a change that is sent again with the same ID is published once. Default: a new ID."`
	Wait        time.Duration `help:"Maximum time to wait until the change is in force; 0 means no wait." default:"9s"`
	WaitPercent uint32        `help:"Share of the known nodes to wait for." default:"100"`
}

// AfterApply implements kong's hook. It creates a change ID once per command, unless one is given.
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

// basedOn returns the version given by --based-on, or else the version in force as returned by
// currentVersion. It returns 0 when nothing has been published yet.
func (f *publishFlags) basedOn(currentVersion func() (uint64, error)) (uint64, error) {
	if f.BasedOn != nil {
		return *f.BasedOn, nil
	}
	v, err := currentVersion()
	if connect.CodeOf(err) == connect.CodeNotFound {
		return 0, nil
	}
	return v, err
}

// percent returns the share of nodes to wait for. It is 0 without --wait, so that the node responds
// without waiting.
func (f *publishFlags) percent() uint32 {
	if f.Wait <= 0 {
		return 0
	}
	return f.WaitPercent
}

// printPublication prints the decision about the change of object. It returns an error with its own
// exit code when the change conflicts with another version, or is not in force on enough nodes.
func (a *app) printPublication(object string, p *adminpb.Publication, f *publishFlags) error {
	t := newTable("CHANGE", "DECISION", "VERSION", "IN FORCE")
	decision := "accepted"
	if !p.GetAccepted() {
		decision = "lost"
	}
	t.row(object, decision, p.GetVersion(), fmt.Sprintf("%d/%d", p.GetNodesInForce(), p.GetNodesKnown()))
	if err := a.print(p, t); err != nil {
		return err
	}
	if !p.GetAccepted() {
		return &exitError{exitConflict, conflictText(object, p)}
	}
	if !inForce(p, f.percent()) {
		return &exitError{exitNotInForce, fmt.Sprintf("%s is accepted as version %d; %d of %d nodes had it in force after %v (galenactl status --lagging names the others)",
			object, p.Version, p.NodesInForce, p.NodesKnown, f.Wait)}
	}
	return nil
}

// inForce reports whether at least percent of the known nodes have the publication in force.
func inForce(p *adminpb.Publication, percent uint32) bool {
	return uint64(p.NodesInForce)*100 >= uint64(p.NodesKnown)*uint64(percent)
}

// conflictText describes the publication that p conflicts with, and how to publish again.
func conflictText(object string, p *adminpb.Publication) string {
	operator := p.GetLostToOperator()
	if operator == "" {
		operator = "another operator"
	}
	s := fmt.Sprintf("%s lost to version %d by %s", object, p.GetLostToVersion(), operator)
	if p.GetLostToChangeId() != "" {
		s += " (change " + p.GetLostToChangeId() + ")"
	}
	if p.GetDetail() != "" {
		s += ": " + p.GetDetail()
	}
	return s + "; look at it and publish again with --based-on " + fmt.Sprint(p.GetVersion())
}

// readDocument reads a JSON object from the file at path, or from standard input when path is "-". It
// returns the object parsed and as text.
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

// parseValues adds pairs of the form NAME=VALUE to values. A VALUE that is valid JSON is used as such;
// any other is a string, so that 250ms needs no quotes.
func parseValues(values map[string]json.RawMessage, pairs []string) error {
	for _, p := range pairs {
		name, value, ok := strings.Cut(p, "=")
		if !ok || name == "" {
			return usageError{errors.Errorf("%q must be NAME=VALUE", p)}
		}
		raw := json.RawMessage(value)
		if !json.Valid(raw) {
			quoted, err := json.Marshal(value)
			if err != nil {
				return usageError{errors.Wrapf(err, "encode the value of %q", p)}
			}
			raw = quoted
		}
		values[name] = raw
	}
	return nil
}
