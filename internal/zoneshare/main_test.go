package zoneshare

import (
	"os"
	"testing"

	"github.com/galenagrade/galenagrade/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}
