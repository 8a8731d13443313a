package fleetprocess

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/platform"
)

// Each version of a malformed row is reported once, and rows that are gone are forgotten.
func TestRowReports(t *testing.T) {
	row := func(key string, version int64) platform.RowError {
		return platform.RowError{Key: key, Version: version, Err: platform.ErrMalformed}
	}
	var r rowReports
	for _, test := range []struct {
		name     string
		rows     []platform.RowError
		reported []platform.RowError
	}{
		{"none", nil, nil},
		{"first", []platform.RowError{row("a", 1), row("b", 2)}, []platform.RowError{row("a", 1), row("b", 2)}},
		{"the same", []platform.RowError{row("b", 2), row("a", 1)}, nil},
		{"one has changed", []platform.RowError{row("a", 3), row("b", 2)}, []platform.RowError{row("a", 3)}},
		{"one is gone", []platform.RowError{row("b", 2)}, nil},
		{"it is back", []platform.RowError{row("a", 4), row("b", 2)}, []platform.RowError{row("a", 4)}},
		{"all are gone", nil, nil},
	} {
		require.Equal(t, test.reported, r.update(test.rows), test.name)
		require.Len(t, r.versions, len(test.rows), test.name)
	}
}
