package main

import (
	"encoding/json"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

type templateCmd struct {
	List    templateListCmd    `cmd:"" help:"List templates."`
	Show    templateShowCmd    `cmd:"" help:"Show a template."`
	Publish templatePublishCmd `cmd:"" help:"Publish a new template or a new version of one."`
}

type templateListCmd struct{}

// Run implements the command.
func (templateListCmd) Run(a *app) error {
	ctx, cancel := a.callContext(0)
	defer cancel()
	resp, err := a.client.ListTemplates(ctx, connect.NewRequest(&adminpb.ListTemplatesRequest{}))
	if err != nil {
		return err
	}
	t := newTable("NAME", "VERSION", "PARAMETERS", "DESCRIPTION")
	for _, x := range resp.Msg.Templates {
		t.row(x.Name, x.Version, strings.Join(x.Parameters, ","), x.Description)
	}
	return a.print(orEmpty(resp.Msg.Templates), t)
}

type templateShowCmd struct {
	Name    string `arg:"" help:"Template."`
	Version uint64 `help:"Version; 0 is the one in force."`
}

// documentView is the JSON output for a template or an instance: its name, version and document.
type documentView struct {
	Name      string          `json:"name,omitempty"`
	Workspace string          `json:"workspace,omitempty"`
	Service   string          `json:"service,omitempty"`
	Version   uint64          `json:"version"`
	Document  json.RawMessage `json:"document"`
	Effective json.RawMessage `json:"effective,omitempty"`
}

// Run implements the command.
func (c *templateShowCmd) Run(a *app) error {
	ctx, cancel := a.callContext(0)
	defer cancel()
	resp, err := a.client.ShowTemplate(ctx, connect.NewRequest(&adminpb.ShowTemplateRequest{Name: c.Name, Version: c.Version}))
	if err != nil {
		return err
	}
	t := newTable()
	t.note("template %s version %d", resp.Msg.Name, resp.Msg.Version)
	t.note("%s", indent(resp.Msg.DocumentJson))
	return a.print(documentView{
		Name: resp.Msg.Name, Version: resp.Msg.Version, Document: rawOrNull(resp.Msg.DocumentJson),
	}, t)
}

type templatePublishCmd struct {
	File         string `arg:"" help:"JSON document; - reads standard input."`
	Name         string `help:"Template; default: the document's name."`
	publishFlags `embed:""`
}

// Run implements the command.
func (c *templatePublishCmd) Run(a *app) error {
	doc, text, err := a.readDocument(c.File)
	if err != nil {
		return err
	}
	if c.Name == "" {
		if err := json.Unmarshal(doc["name"], &c.Name); err != nil || c.Name == "" {
			return usageError{errors.Errorf("%s has no name; give --name", c.File)}
		}
	}
	ctx, cancel := a.callContext(c.Wait)
	defer cancel()
	baseVersion, err := c.basedOn(func() (uint64, error) {
		resp, err := a.client.ShowTemplate(ctx, connect.NewRequest(&adminpb.ShowTemplateRequest{Name: c.Name}))
		if err != nil {
			return 0, err
		}
		return resp.Msg.Version, nil
	})
	if err != nil {
		return err
	}
	resp, err := a.client.PublishTemplate(ctx, connect.NewRequest(&adminpb.PublishTemplateRequest{
		Name: c.Name, DocumentJson: text, BasedOn: baseVersion, ChangeId: c.ChangeID,
		WaitPercent: c.percent(), WaitMs: c.Wait.Milliseconds(),
	}))
	if err != nil {
		return &changeError{err, c.ChangeID}
	}
	return a.printPublication("template "+c.Name, resp.Msg.Publication, &c.publishFlags)
}

// orEmpty returns an empty list instead of nil, which would be null in JSON.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// rawOrNull returns doc, or null when it is not valid JSON, so that the output is always valid JSON.
func rawOrNull(doc string) json.RawMessage {
	if !json.Valid([]byte(doc)) {
		return json.RawMessage("null")
	}
	return json.RawMessage(doc)
}
