package configcopy_test

import (
	"bytes"
	"compress/flate"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/configcopy"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a copy that an older configuration replaces, that is written by instances that do not follow the store, or that
// stays behind once it exists.
func TestKeeper(t *testing.T) {
	var k configcopy.Keeper
	require.Equal(t, configcopy.None, k.Next(start, 3, true, true), "nothing was refused")
	k.Refused(start.Add(time.Second))
	require.Equal(t, configcopy.None, k.Next(start, 3, true, true), "not due")
	due := start.Add(time.Second)
	require.Equal(t, configcopy.None, k.Next(due, 3, true, false), "does not follow the store")
	require.Equal(t, configcopy.Read, k.Next(due, 0, false, false), "has no configuration")
	require.Equal(t, configcopy.Read, k.Next(due, 3, true, true))
	k.Found(5, 2, due)
	require.Equal(t, configcopy.Write, k.Next(due, 3, true, true))
	require.EqualValues(t, 5, k.Version())
	k.Failed(due.Add(time.Second))
	require.Equal(t, configcopy.None, k.Next(due, 3, true, true))
	due = due.Add(time.Second)
	require.Equal(t, configcopy.Read, k.Next(due, 3, true, true), "another instance may have written")
	k.Found(6, 4, due)
	require.Equal(t, configcopy.None, k.Next(due, 3, true, true), "the copy is newer")
	k.Accepted()
	require.Equal(t, configcopy.Write, k.Next(due, 5, true, true), "the copy follows")
	k.Written(7, 5)
	require.Equal(t, configcopy.None, k.Next(due, 5, true, true))
	require.Equal(t, configcopy.None, k.Next(due, 0, false, true), "the store has a configuration")
}

// Guards against a copy that does not return what was written, or that inflates to any size.
func TestCodec(t *testing.T) {
	env := config.Envelope{Generation: 1<<64 - 1, Edit: "operators-0001", Text: strings.Repeat("\x01\"Sertão\n", 100_000)}
	value, err := configcopy.Encode(env)
	require.NoError(t, err)
	require.Less(t, len(value), 1<<20)
	decoded, err := configcopy.Decode(value)
	require.NoError(t, err)
	require.Equal(t, env, decoded)
	for _, n := range []int{0, 1, len(value) / 2, len(value) - 1} {
		_, err := configcopy.Decode(value[:n])
		require.Error(t, err)
	}
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	require.NoError(t, err)
	_, err = w.Write(bytes.Repeat([]byte{' '}, 64<<20))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	_, err = configcopy.Decode(bomb.Bytes())
	require.ErrorContains(t, err, "too large")
}
