package check

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// The tests with documents are beside their decoder, in platform/decode.
func TestOptions(t *testing.T) {
	assertRefused := func(t *testing.T, o Options) {
		t.Helper()
		assert.ErrorIs(t, o.Run(context.Background(), new(inject.Factory)), zinniapond.ErrMalformed)
	}
	path := filepath.Join(t.TempDir(), "document")
	assert.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	t.Run("guards against options without effect", func(t *testing.T) {
		assertRefused(t, Options{Document: path, Folder: "lists"})
		assertRefused(t, Options{Current: path})
	})
	t.Run("guards against success without anything to check", func(t *testing.T) { assertRefused(t, Options{}) })
}
