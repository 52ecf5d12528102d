package tables

import (
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"kingcupplank.example/kingcup/storage"
)

// HTTP serves the object store under /objects/ and the control of faults under
// /faults, for example POST /faults?outage=true&lose_before=1&lose_after=2&delay_ms=500.
func (t *Table) HTTP() fasthttp.RequestHandler {
	r := router.New()
	r.PUT("/objects/{key:*}", t.putObject)
	r.GET("/objects/{key:*}", t.getObject)
	r.POST("/faults", t.setFaults)
	return r.Handler
}

func objectKey(ctx *fasthttp.RequestCtx) string {
	key, _ := ctx.UserValue("key").(string)
	return key
}

func (t *Table) putObject(ctx *fasthttp.RequestCtx) {
	if err := t.Put(ctx, objectKey(ctx), ctx.PostBody()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	}
}

func (t *Table) getObject(ctx *fasthttp.RequestCtx) {
	value, err := t.Get(ctx, objectKey(ctx))
	switch {
	case errors.Is(err, storage.ErrNotFound):
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBody(value)
	}
}

func (t *Table) setFaults(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	outage, err := strconv.ParseBool(string(args.Peek("outage")))
	if err == nil {
		t.SetOutage(outage)
	}
	t.SetCommitDelay(time.Duration(args.GetUintOrZero("delay_ms")) * time.Millisecond)
	t.LoseCommitResponses(args.GetUintOrZero("lose_before"), args.GetUintOrZero("lose_after"))
}
