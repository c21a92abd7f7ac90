package main

import (
	"encoding/json"
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

type instanceCmd struct {
	List instanceListCmd `cmd:"" help:"List instances."`
	Show instanceShowCmd `cmd:"" help:"Show an instance with its defaults filled in."`
	Set  instanceSetCmd  `cmd:"" help:"Publish parameter values."`
	Diff instanceDiffCmd `cmd:"" help:"Show what set would change."`
}

type instanceListCmd struct {
	Workspace string `help:"Only this workspace."`
}

// Run implements the command.
func (c *instanceListCmd) Run(a *app) error {
	ctx, cancel := a.callContext(0)
	defer cancel()
	resp, err := a.client.ListInstances(ctx, connect.NewRequest(&adminpb.ListInstancesRequest{Workspace: c.Workspace}))
	if err != nil {
		return err
	}
	t := newTable("WORKSPACE", "SERVICE", "TEMPLATE", "TEMPLATE VERSION", "VERSION")
	for _, x := range resp.Msg.Instances {
		t.row(x.Workspace, x.Service, x.Template, x.TemplateVersion, x.Version)
	}
	return a.print(orEmpty(resp.Msg.Instances), t)
}

type instanceShowCmd struct {
	Workspace string `arg:"" help:"Workspace."`
	Service   string `arg:"" help:"Service."`
	Version   uint64 `help:"Version; 0 is the one in force."`
}

// Run implements the command.
func (c *instanceShowCmd) Run(a *app) error {
	ctx, cancel := a.callContext(0)
	defer cancel()
	resp, err := a.client.ShowInstance(ctx, connect.NewRequest(&adminpb.ShowInstanceRequest{
		Workspace: c.Workspace, Service: c.Service, Version: c.Version,
	}))
	if err != nil {
		return err
	}
	m := resp.Msg
	t := newTable()
	t.note("instance %s/%s version %d", m.Workspace, m.Service, m.Version)
	t.note("published: %s", indent(m.DocumentJson))
	t.note("in effect: %s", indent(m.EffectiveJson))
	return a.print(documentView{
		Workspace: m.Workspace, Service: m.Service, Version: m.Version,
		Document: rawOrNull(m.DocumentJson), Effective: rawOrNull(m.EffectiveJson),
	}, t)
}

// valueFlags are the flags that give the parameter values of an instance.
type valueFlags struct {
	Workspace string   `arg:"" help:"Workspace."`
	Service   string   `arg:"" help:"Service."`
	Values    []string `arg:"" optional:"" name:"value" help:"NAME=VALUE; a value that isn't JSON is a string."`
	File      string   `help:"JSON object of values; - reads standard input. NAME=VALUE overrides its values."`
	Template  string   `help:"Template; default: keep the one in force."`
	Replace   bool     `help:"Drop values that aren't named; default: keep them."`
}

// document returns the values of --file, overridden by the NAME=VALUE arguments, as a JSON object.
func (f *valueFlags) document(a *app) (string, error) {
	values := map[string]json.RawMessage{}
	if f.File != "" {
		doc, _, err := a.readDocument(f.File)
		if err != nil {
			return "", err
		}
		values = doc
	}
	if err := parseValues(values, f.Values); err != nil {
		return "", err
	}
	if len(values) == 0 && f.Template == "" && !f.Replace {
		return "", usageError{errors.New("nothing to set: give NAME=VALUE, --file, --template or --replace")}
	}
	b, err := json.Marshal(values)
	return string(b), errors.Wrap(err, "encode values")
}

type instanceSetCmd struct {
	valueFlags   `embed:""`
	publishFlags `embed:""`
}

// Run implements the command.
func (c *instanceSetCmd) Run(a *app) error {
	doc, err := c.document(a)
	if err != nil {
		return err
	}
	ctx, cancel := a.callContext(c.Wait)
	defer cancel()
	baseVersion, err := c.basedOn(func() (uint64, error) {
		resp, err := a.client.ShowInstance(ctx, connect.NewRequest(&adminpb.ShowInstanceRequest{Workspace: c.Workspace, Service: c.Service}))
		if err != nil {
			return 0, err
		}
		return resp.Msg.Version, nil
	})
	if err != nil {
		return err
	}
	resp, err := a.client.SetInstance(ctx, connect.NewRequest(&adminpb.SetInstanceRequest{
		Workspace: c.Workspace, Service: c.Service, Template: c.Template,
		ValuesJson: doc, Merge: !c.Replace, BasedOn: baseVersion, ChangeId: c.ChangeID,
		WaitPercent: c.percent(), WaitMs: c.Wait.Milliseconds(),
	}))
	if err != nil {
		return &changeError{err, c.ChangeID}
	}
	return a.printPublication(fmt.Sprintf("instance %s/%s", c.Workspace, c.Service), resp.Msg.Publication, &c.publishFlags)
}

type instanceDiffCmd struct {
	valueFlags `embed:""`
	ExitCode   bool `name:"exit-code" help:"Exit with 10 when there are differences."`
}

// Run implements the command.
func (c *instanceDiffCmd) Run(a *app) error {
	doc, err := c.document(a)
	if err != nil {
		return err
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	resp, err := a.client.DiffInstance(ctx, connect.NewRequest(&adminpb.DiffInstanceRequest{
		Workspace: c.Workspace, Service: c.Service, Template: c.Template,
		ValuesJson: doc, Merge: !c.Replace,
	}))
	if err != nil {
		return err
	}
	t := newTable("PARAMETER", "IN FORCE", "PROPOSED")
	for _, d := range resp.Msg.Differences {
		t.row(d.Path, d.FromJson, d.ToJson)
	}
	t.note("%d differences from version %d; publish with --based-on %d", len(resp.Msg.Differences), resp.Msg.BasedOn, resp.Msg.BasedOn)
	if err := a.print(resp.Msg, t); err != nil {
		return err
	}
	if c.ExitCode && len(resp.Msg.Differences) > 0 {
		return &exitError{exitDifferences, fmt.Sprintf("%d differences", len(resp.Msg.Differences))}
	}
	return nil
}
