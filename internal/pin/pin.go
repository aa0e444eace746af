// Package pin keeps the modules of planned packages in go.mod.
package pin

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/participle/v2"
	_ "github.com/alecthomas/participle/v2/lexer"
	_ "github.com/alexflint/go-arg"
	_ "github.com/panjf2000/gnet/v2"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/tailscale/hujson"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/goleak"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc"
	_ "storj.io/drpc/drpcconn"
	_ "storj.io/drpc/drpcmux"
	_ "storj.io/drpc/drpcserver"
)
