package model_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

func TestSplitAndParse(t *testing.T) {
	tests := []struct {
		name   string
		size   int
		chunks int
	}{
		{"one short chunk", 10, 1},
		{"exact chunk", model.MinChunkSize, 1},
		{"two chunks", model.MinChunkSize + 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data := bytes.Repeat([]byte{7}, tt.size)
			var stored []byte
			keep := func(_ model.Chunk, b []byte) error {
				stored = append(stored, b...)
				return nil
			}
			m, err := model.Split("faq", "1", bytes.NewReader(data), model.MinChunkSize, keep)
			require.NoError(t, err)
			require.Equal(t, tt.chunks, m.Chunks())
			require.Equal(t, data, stored)
			require.Equal(t, digest.Of(data), m.Whole())
			same, err := model.Parse(m.Encode())
			require.NoError(t, err)
			require.Equal(t, m.ID(), same.ID())
		})
	}
}

func TestInvalidManifest(t *testing.T) {
	whole := digest.Of([]byte("x"))
	chunk := model.NewChunk(whole, 1)
	tests := []struct {
		name    string
		version string
		chunks  []model.Chunk
		whole   digest.Digest
	}{
		{"no version", "", []model.Chunk{chunk}, whole},
		{"no chunks", "1", nil, whole},
		{"no whole", "1", []model.Chunk{chunk}, digest.Digest{}},
		{"empty chunk", "1", []model.Chunk{model.NewChunk(whole, 0)}, whole},
		{"oversized chunk", "1", []model.Chunk{model.NewChunk(whole, model.MaxChunkSize+1)}, whole},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := model.New("faq", tt.version, tt.chunks, tt.whole)
			require.ErrorIs(t, err, model.ErrManifest)
		})
	}
}
