package caller

import (
	"io"
	"log"
	"os"
	"testing"
)

// net/http logs every duplicated answer with its content.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
