package standin

import (
	"context"
	"net/http"
)

// life spans the time from one start of a stand-in to its crash, or from the
// crash to the next start.
type life struct {
	ctx  context.Context
	end  context.CancelFunc
	down bool
}

func newLife() *life {
	ctx, end := context.WithCancel(context.Background())
	return &life{ctx: ctx, end: end}
}

// serve runs the handler and cuts the connection if the life ends before it
// returns or is spent down.
func (l *life) serve(w http.ResponseWriter, r *http.Request, handle http.HandlerFunc) {
	if l.down {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	handle(w, r.WithContext(ctx))
	if l.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}
