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
	ctx, cancel := a.call(0)
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

// documentView is a document with what it is.
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
	ctx, cancel := a.call(0)
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
	ctx, cancel := a.call(c.Wait)
	defer cancel()
	based, err := c.basedOn(func() (uint64, error) {
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
		Name: c.Name, DocumentJson: text, BasedOn: based, ChangeId: c.ChangeID,
		WaitPercent: c.percent(), WaitMs: c.Wait.Milliseconds(),
	}))
	if err != nil {
		return &changeError{err, c.ChangeID}
	}
	return a.report("template "+c.Name, resp.Msg.Publication, &c.publishFlags)
}

// orEmpty makes an absent list an empty one in JSON.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// rawOrNull keeps the output JSON whatever a node sent.
func rawOrNull(doc string) json.RawMessage {
	if !json.Valid([]byte(doc)) {
		return json.RawMessage("null")
	}
	return json.RawMessage(doc)
}
