package command

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/primrosetally/primrosetally/internal/agent"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/objects"
)

type publishFlags struct {
	file, name, version, objectsURL, originURL string
}

func publishCommand() *command {
	f := &publishFlags{}
	return &command{
		name:        "publish",
		description: "Split a file of weights, upload its chunks and manifest, and print the manifest ID.",
		flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&f.file, "FILE", 1, true, "the weights")
			sub.String(&f.name, "n", "name", "name of the model")
			sub.String(&f.version, "", "modelVersion", "version of the model")
			sub.String(&f.objectsURL, "", "objects", "URL of the object store")
			sub.String(&f.originURL, "", "origin", "URL of the origin")
		},
		run: f.run,
	}
}

func (f *publishFlags) run(ctx context.Context, e env) int {
	file, err := os.Open(f.file)
	if err != nil {
		return e.fail(statusUsage, err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return e.fail(statusFailed, err)
	}
	origin := objects.New(f.originURL)
	upload := func(c model.Chunk, data []byte) error {
		key := agent.ChunkPrefix + c.Digest().String()
		if there, err := origin.Exists(ctx, key); err == nil && there {
			return nil
		}
		return origin.Put(ctx, key, data)
	}
	m, err := model.Split(f.name, f.version, file, model.ChunkSizeFor(info.Size()), upload)
	if err != nil {
		return e.fail(statusFailed, err)
	}
	if err := objects.New(f.objectsURL).Put(ctx, agent.ManifestPrefix+m.ID().String(), m.Encode()); err != nil {
		return e.fail(statusFailed, err)
	}
	fmt.Fprintln(e.stdout, m.ID())
	return statusOK
}
