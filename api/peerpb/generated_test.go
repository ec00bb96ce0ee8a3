package peerpb_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// make generate must run after each edit of peer.proto: it records the hash of the source that
// the code was generated from.
func TestGeneratedCodeIsUpToDate(t *testing.T) {
	source, err := os.ReadFile("peer.proto")
	require.NoError(t, err)
	recorded, err := os.ReadFile("peer.proto.sha256")
	require.NoError(t, err)
	sum := sha256.Sum256(source)
	require.Equal(t, strings.TrimSpace(string(recorded)), hex.EncodeToString(sum[:]), "run make generate")
}
