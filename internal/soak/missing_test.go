package soak

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseMissing(t *testing.T) {
	for _, test := range []struct {
		text  string
		n     int
		fails bool
	}{
		{"# HELP primrosetally_requests_missing x\nprimrosetally_requests_missing 0\n", 0, false},
		{"other 1\nprimrosetally_requests_missing 3\nother 2\n", 3, false},
		{"primrosetally_requests_missing -1\n", -1, false},
		{"primrosetally_requests_missing_other 3\n", 0, true},
		{"primrosetally_requests_missing x\n", 0, true},
		{"", 0, true},
	} {
		n, err := parseMissing(strings.NewReader(test.text))
		require.Equal(t, test.fails, err != nil, test.text)
		require.Equal(t, test.n, n, test.text)
	}
}
