package mesh

import (
	"net/http"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/routes"
)

// Platform is what an adapter translates: the store, the published routes, the
// words of requests and answers, and what upstreams say of themselves.
type Platform interface {
	proxy.Edge
	proxy.Dialect
	// Members is the topic of the nodes' own records.
	Members() Topic
	// RoutesTopic is where operators publish routes.
	RoutesTopic() Topic
	// DecodeRoutes reads an item of RoutesTopic; ok is false when the item is
	// about something else.
	DecodeRoutes(item Item) (config *routes.Config, ok bool, err error)
	// AnnounceHandler takes what the local upstream says of itself.
	AnnounceHandler(sink Announcements) http.Handler
	// SetUpstream sets who is behind the local upstream's address from now on.
	SetUpstream(id string)
	// Identify returns the name of the upstream that answered a question for its
	// health so; empty when it takes no work.
	Identify(status int, h http.Header) string
	// SetStore sets the store's address, IP:port, from now on.
	SetStore(address string)
	// StoreStats returns what the calls of the store came to since the start.
	StoreStats() StoreStats
	// Close ends what the adapter holds open.
	Close()
}

// Announcements takes what the upstream beside the node says.
type Announcements interface {
	// Reported takes a report; when it returns, the report is in force.
	Reported(fleet.Report)
	// Departed says that the process with that ID and start has left; born is 0
	// when it was not given.
	Departed(id string, born int64)
}

// StoreStats counts calls of the store since the start.
type StoreStats struct {
	Calls    int64 `json:"calls"`
	Failures int64 `json:"failures"`
	// BytesSent and BytesReceived are of bodies.
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_received"`
}
