package mesh

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against idle connections between nodes that use up the file descriptors for callers.
func TestIdlePeerConnectionsFitDescriptors(t *testing.T) {
	for _, x := range []struct{ descriptors, nodes, idle int }{
		{4100, 1, 64}, {4100, 16, 64}, {4100, 17, 60}, {4100, 76, 13}, {8192, 76, 26}, {256, 76, 2},
	} {
		must.EqOp(t, x.idle, idlePerPeer(x.descriptors, x.nodes), must.Sprintf("%+v", x))
		if x.idle > minIdlePerPeer {
			must.LessEq(t, x.descriptors/2, 2*x.idle*x.nodes)
		}
	}
}
