package configcopy

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// maxEncodedSize is the maximum size of an envelope in JSON, in bytes. Text of a megabyte may take several times that with its
// escapes.
const maxEncodedSize = 8 << 20

var errTooLarge = errors.New("configcopy: the copy is too large")

// Encode returns the value of the copy. It is compressed, because the text may be as large as a value of the store can be.
func Encode(env config.Envelope) ([]byte, error) {
	text, err := json.Marshal(env)
	if err != nil {
		return nil, fmt.Errorf("configcopy: encode: %w", err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("configcopy: compress: %w", err)
	}
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("configcopy: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("configcopy: compress: %w", err)
	}
	return out.Bytes(), nil
}

// Decode returns the envelope of a copy.
func Decode(value []byte) (config.Envelope, error) {
	r := flate.NewReader(bytes.NewReader(value))
	text, err := io.ReadAll(io.LimitReader(r, maxEncodedSize+1))
	if err != nil {
		return config.Envelope{}, fmt.Errorf("configcopy: decompress: %w", err)
	}
	if len(text) > maxEncodedSize {
		return config.Envelope{}, errTooLarge
	}
	var env config.Envelope
	if err := json.Unmarshal(text, &env); err != nil {
		return config.Envelope{}, fmt.Errorf("configcopy: decode: %w", err)
	}
	return env, nil
}
