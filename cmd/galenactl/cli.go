package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb/adminpbconnect"
	"github.com/galenagrade/galenagrade/internal/certs"
	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/httphead"
)

// cli defines the global flags and the commands.
type cli struct {
	Address string        `help:"Admin address of any node, as URL or IP:port." default:"http://127.0.0.1:7103" env:"GALENACTL_ADDRESS"`
	Token   string        `help:"Bearer token." env:"GALENACTL_TOKEN"`
	CAFile  string        `name:"ca" aliases:"ca-file" help:"PEM file of the CA that signed the node's certificate." env:"GALENACTL_CA_FILE" type:"path"`
	Cert    string        `help:"PEM file of this operator's certificate, for nodes that require one." env:"GALENACTL_CERT_FILE" type:"path"`
	Key     string        `help:"PEM file of the certificate's private key." env:"GALENACTL_KEY_FILE" type:"path"`
	Output  string        `help:"Output format: ${enum}." short:"o" enum:"table,json" default:"table"`
	Timeout time.Duration `help:"Timeout of one call, in addition to --wait." default:"15s"`

	Template templateCmd `cmd:"" help:"Templates of overload behaviour."`
	Instance instanceCmd `cmd:"" help:"Templates with the values for one workspace and service."`
	Status   statusCmd   `cmd:"" help:"Versions in force on every node."`
	Members  membersCmd  `cmd:"" help:"Upstreams and their nodes."`
	Node     nodeCmd     `cmd:"" help:"State of one node that serves by routes; --address is the node's metrics address."`
	Drain    drainCmd    `cmd:"" help:"Let a node finish its work and leave."`
	Timeline timelineCmd `cmd:"" help:"Merged events of all nodes."`
	Explain  explainCmd  `cmd:"" help:"Why a request ended as it did, from the nodes' logs."`
	Store    storeCmd    `cmd:"" help:"Calls of the store by topic, purpose and outcome, from the nodes' logs."`
	Events   eventsCmd   `cmd:"" help:"Events of one node as they happen."`
}

// app holds the clients, streams and global flags that commands use.
type app struct {
	ctx     context.Context
	client  adminpbconnect.AdminClient
	http    *http.Client
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
	json    bool
	address string
	timeout time.Duration
}

// helpPrinted is the panic value that stops the parser after --help, where kong would otherwise exit
// the process.
type helpPrinted struct{}

// run parses args, runs the command and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var c cli
	kctx, code, ok := parse(&c, args, stdout, stderr)
	if !ok {
		return code
	}
	a, err := newApp(ctx, &c, stdin, stdout, stderr)
	if err == nil {
		err = kctx.Run(a)
	}
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "galenactl: "+errorText(err, c.Address))
	return exitCode(err)
}

// parse parses args into c. ok is false when the process must end with the exit code: after --help or
// a usage error, which is printed.
func parse(c *cli, args []string, stdout, stderr io.Writer) (kctx *kong.Context, code int, ok bool) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case helpPrinted:
			kctx, code, ok = nil, exitOK, false
		default:
			panic(r)
		}
	}()
	parser, err := kong.New(c,
		kong.Name("galenactl"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { panic(helpPrinted{}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fmt.Fprintln(stderr, "galenactl: "+err.Error())
		return nil, exitFailure, false
	}
	kctx, err = parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "galenactl: %v\nRun galenactl --help for usage.\n", err)
		return nil, exitUsage, false
	}
	return kctx, exitOK, true
}

const description = `Administer galenagrade.

Exit codes: 0 done, 1 failure, 2 usage or refused document, 3 lost to another
operator, 4 unauthorized, 5 node unreachable, 6 undecided (repeat with the same
--change-id), 7 not found, 8 platform unavailable, 9 accepted but not in force
everywhere within --wait, 10 differences found (instance diff --exit-code).`

func newApp(ctx context.Context, c *cli, stdin io.Reader, stdout, stderr io.Writer) (*app, error) {
	client, err := httpClient(c)
	if err != nil {
		return nil, err
	}
	address := baseURL(c.Address)
	return &app{
		ctx:     ctx,
		client:  admin.NewClient(client, address, c.Token),
		http:    client,
		stdin:   stdin,
		stdout:  stdout,
		stderr:  stderr,
		json:    c.Output == "json",
		address: address,
		timeout: c.Timeout,
	}, nil
}

// baseURL returns address as a URL without a trailing slash; the scheme defaults to http.
func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

// httpClient returns a client with the TLS settings of the command line. It sets no overall timeout:
// each call has a context with its own, and a followed stream has none.
func httpClient(c *cli) (*http.Client, error) {
	tr := &http.Transport{
		DialContext:       conns.ReportResets((&net.Dialer{Timeout: 5 * time.Second}).DialContext),
		ForceAttemptHTTP2: true,
	}
	tr.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	if c.CAFile != "" {
		pool, err := certs.LoadCAPool(c.CAFile)
		if err != nil {
			return nil, usageError{errors.WithMessage(err, "--ca (or --ca-file)")}
		}
		tr.TLSClientConfig.RootCAs = pool
	}
	if c.Cert != "" || c.Key != "" {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, usageError{errors.WithMessage(err, "--cert and --key")}
		}
		tr.TLSClientConfig.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: httphead.NewTransport(tr)}, nil
}

// callContext returns the context of one call. Its timeout is --timeout plus wait, the time for which
// the request lets the node wait.
func (a *app) callContext(wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.timeout+wait)
}
