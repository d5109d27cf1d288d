package caller

import (
	"io"
	"log"
	"os"
	"testing"
)

// TestMain discards the standard log, since net/http logs every duplicated
// response with its content.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
