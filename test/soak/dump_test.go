package soak

import (
	"context"
	"fmt"
	"io"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
)

// dump writes the decoded records of a shard's stream, one a line.
func (c *cluster) dump(w io.Writer, shard string) {
	page, err := c.log.Read(context.Background(), datacentre.ShardStream(shard), 1, 0, 0)
	if err != nil {
		return
	}
	for i, data := range page.Records {
		r, body, err := contract.DecodeRecord(data)
		_, _ = fmt.Fprintf(w, "record %s/%d epoch=%d %T%+v %v\n", shard, page.First+uint64(i), r.Epoch, body, body, err)
	}
}
