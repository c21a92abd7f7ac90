package mesh

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against connections between nodes that leave no descriptors for callers.
func TestKeptConnectionsFitTheDescriptors(t *testing.T) {
	for _, x := range []struct{ descriptors, nodes, kept int }{
		{4100, 1, 64}, {4100, 16, 64}, {4100, 17, 60}, {4100, 76, 13}, {8192, 76, 26}, {256, 76, 2},
	} {
		must.EqOp(t, x.kept, keptFor(x.descriptors, x.nodes), must.Sprintf("%+v", x))
		if x.kept > leastKept {
			must.LessEq(t, x.descriptors/2, 2*x.kept*x.nodes)
		}
	}
}
