package entries

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
)

// NewHandler returns the path and the handler at which an entry hands out its
// configuration.
func NewHandler(current func() (version int64, text []byte)) (string, http.Handler) {
	return nodev1connect.NewEntryServiceHandler(handler{current: current})
}

type handler struct {
	current func() (version int64, text []byte)
}

// FetchConfiguration returns the configuration in force.
func (h handler) FetchConfiguration(context.Context, *connect.Request[nodev1.FetchConfigurationRequest]) (*connect.Response[nodev1.FetchConfigurationResponse], error) {
	version, text := h.current()
	return connect.NewResponse(&nodev1.FetchConfigurationResponse{Version: version, Text: text}), nil
}

// FetchConfiguration asks the entry at an address for its configuration.
func FetchConfiguration(ctx context.Context, client *http.Client, address string) ([]byte, error) {
	service := nodev1connect.NewEntryServiceClient(client, "http://"+address)
	answer, err := service.FetchConfiguration(ctx, connect.NewRequest(&nodev1.FetchConfigurationRequest{}))
	if err != nil {
		return nil, err
	}
	return answer.Msg.GetText(), nil
}
