package mesh

import (
	"context"
	"net/http"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/records"
	"github.com/galenagrade/galenagrade/internal/routes"
)

// Platform is the adapter to a platform: its store, its published routes, the headers and
// results of requests and responses, and the reports of upstreams.
type Platform interface {
	proxy.Edge
	proxy.Dialect
	// Members returns the topic of the nodes' own records.
	Members() records.Topic
	// RoutesTopic returns the topic to which operators publish routes.
	RoutesTopic() records.Topic
	// DecodeRoutes decodes an item of RoutesTopic; ok is false if the item is not about routes.
	DecodeRoutes(item records.Item) (config *routes.Config, ok bool, err error)
	// AnnounceHandler returns the handler that receives the reports of the local upstream and
	// passes them to sink.
	AnnounceHandler(sink UpstreamReports) http.Handler
	// SetUpstream sets the ID of the process behind the local upstream's address.
	SetUpstream(id string)
	// Identify returns the ID of the upstream that sent the given response to a health check;
	// empty if it accepts no work.
	Identify(status int, h http.Header) string
	// SetStore sets the store's address, IP:port.
	SetStore(address string)
	// StoreStats returns counts of the calls of the store since the start.
	StoreStats() StoreStats
	// Close releases the resources of the adapter.
	Close()
}

// UpstreamReports receives the reports of the upstream beside the node. A report that can't be
// acknowledged returns an error and is to be repeated by the upstream.
type UpstreamReports interface {
	// Reported receives a report. When it returns nil, the report is in force. That a process leaves is
	// then in the store, and binds the next process of the node too.
	Reported(context.Context, fleet.Report) error
	// Departed receives the report that the process with that ID and start time has left.
	// startedAt is in Unix milliseconds; 0 if the start time was not given. When it returns nil, the
	// departure is in the store, as with Reported.
	Departed(ctx context.Context, id string, startedAt int64) error
}

// StoreStats counts calls of the store since the start.
type StoreStats struct {
	Calls    int64 `json:"calls"`
	Failures int64 `json:"failures"`
	// BytesSent and BytesReceived count bytes of bodies.
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_received"`
}
