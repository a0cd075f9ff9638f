// Package clients sends the real programs what clients outside the limits send: many bodies that stop short of their
// end, headers byte by byte, idle connections and unread responses. It checks that a process lives, stays within the
// memory and the descriptors of its settings, and answers an ordinary request while the crowd is connected. It checks no
// times. make client-test runs it, one case at a time.
package clients

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/relay"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

const (
	// nodeBody is the longest body that clementine-node accepts, nodeChunked the length of the chunked ones in the
	// incident. gatewayBody is the longest body of a request to clementine-gateway.
	nodeBody    = 256 << 10
	nodeChunked = 240 << 10
	gatewayBody = 1 << 20
	largeChunk  = 32 << 10
	smallChunk  = 8
	piece       = 4 << 10
)

func jobPath(i int) string { return fmt.Sprintf("/q/%016x", i+1) }

func gatewayPath(int) string { return "/v1/requests/cavity-cost" }

// longSpec is a submission whose specification fills a body of n bytes.
func longSpec(n int) []byte {
	const head, tail = `{"steps":[{"count":1,"cpu":100,"mem_mb":10}],"spec":"`, `"}`
	return []byte(head + strings.Repeat("x", n-len(head)-len(tail)) + tail)
}

// padded is a submission inside all limits, with white space up to n bytes.
func padded(n int) []byte {
	const head, tail = `{"steps":[{"count":1,"cpu":100,"mem_mb":10}]`, `}`
	return []byte(head + strings.Repeat(" ", n-len(head)-len(tail)) + tail)
}

// flatSteps is a body of n bytes with as many steps as fit.
func flatSteps(n int) []byte {
	b := []byte(`{"steps":[{}`)
	for len(b)+5 <= n {
		b = append(b, ",{}"...)
	}
	return append(append(b, "]}"...), bytes.Repeat([]byte(" "), n-len(b)-2)...)
}

// The ordinary requests.
const nodeSubmission = `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100}]}`

// Guards against a crowd of clients that makes clementine-node run out of memory or descriptors, or that keeps ordinary
// callers out.
func TestNode(t *testing.T) {
	requireSelected(t)
	programs := build(t, "clementine-node")
	submit := func(n *node) func(try int) bool {
		return func(try int) bool {
			return statusOf(http.MethodPost, n.callers, "h", fmt.Sprintf("/q/%016x", 1<<32+try), nodeSubmission) == http.StatusOK
		}
	}
	ready := func(n *node) func(int) bool {
		return func(int) bool { return statusOf(http.MethodGet, n.ready, "h", "/api/ready", "") == http.StatusOK }
	}
	metrics := func(n *node) func(int) bool {
		return func(int) bool { return statusOf(http.MethodGet, n.metrics, "h", "/metrics", "") == http.StatusOK }
	}
	relayed := func(n *node) func(int) bool { return func(int) bool { return asksRelay(t, n.relay) } }
	for _, c := range []struct {
		name     string
		start    func(t *testing.T, n *node) (stop func())
		ordinary func(n *node) func(try int) bool
	}{
		{"bodies one byte short", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, sized(jobPath, padded(nodeBody), nodeBody, 1))
		}, submit},
		{"bodies one byte short from many addresses", func(t *testing.T, n *node) func() {
			return crowdFrom(t, manyAddresses, n.callers, crowdSize, sized(jobPath, padded(nodeBody), nodeBody, 1))
		}, submit},
		{"bodies in pieces that stop short", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, sized(jobPath, padded(nodeBody), piece, 1))
		}, submit},
		{"whole bodies inside all limits", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, sized(jobPath, padded(nodeBody), nodeBody, 0))
		}, submit},
		{"whole bodies with a long specification", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, sized(jobPath, longSpec(nodeBody), nodeBody, 0))
		}, submit},
		{"whole bodies with many steps", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, sized(jobPath, flatSteps(nodeBody), nodeBody, 0))
		}, submit},
		{"large chunks that stop short", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, chunked(jobPath, padded(nodeChunked), largeChunk))
		}, submit},
		{"small chunks that stop short", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, chunked(jobPath, padded(nodeChunked), smallChunk))
		}, submit},
		{"trickled headers", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, trickledHeader)
		}, submit},
		{"large headers without end", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, largeHeader)
		}, submit},
		{"idle connections", func(t *testing.T, n *node) func() { return crowd(t, n.callers, crowdSize, idle) }, submit},
		{"unread responses", func(t *testing.T, n *node) func() {
			return crowd(t, n.callers, crowdSize, pipelined("/q/"))
		}, submit},
		{"bodies to the port for readiness", func(t *testing.T, n *node) func() {
			return crowd(t, n.ready, crowdSize, sized(jobPath, padded(nodeBody), nodeBody, 1))
		}, ready},
		{"idle connections to the port for readiness", func(t *testing.T, n *node) func() {
			return crowd(t, n.ready, crowdSize, idle)
		}, ready},
		{"unread metrics", func(t *testing.T, n *node) func() {
			return crowd(t, n.metrics, crowdSize, pipelined("/metrics"))
		}, metrics},
		{"idle connections to the port for metrics", func(t *testing.T, n *node) func() {
			return crowd(t, n.metrics, crowdSize, idle)
		}, metrics},
		{"idle connections to the relay", func(t *testing.T, n *node) func() {
			return relayCrowd(t, n.relay, callProtocol, crowdSize, 0, nil)
		}, relayed},
		{"messages to the relay without end", func(t *testing.T, n *node) func() {
			return relayCrowd(t, n.relay, callProtocol, crowdSize, 16, make([]byte, 500<<10))
		}, relayed},
		{"many calls to the relay without end", func(t *testing.T, n *node) func() {
			return relayCrowd(t, n.relay, callProtocol, crowdSize, 120, make([]byte, 10))
		}, relayed},
		{"calls to the relay with many steps", func(t *testing.T, n *node) func() {
			return appendCrowd(t, n.relay, crowdSize)
		}, relayed},
		{"frames to the relay without end", func(t *testing.T, n *node) func() {
			return relayCrowd(t, n.relay, sessionProtocol, crowdSize, 1, longFrame(500<<10))
		}, relayed},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, programs)
			idleMemory := n.memory(t, "VmRSS")
			stop := c.start(t, n)
			defer stop()
			n.check(t, idleMemory, c.ordinary(n))
		})
	}
}

// Guards against the same crowds at clementine-gateway.
func TestGateway(t *testing.T) {
	requireSelected(t)
	programs := build(t, "clementine-gateway", "clementinectl", "standin-platform")
	for _, c := range []struct {
		name  string
		start func(t *testing.T, addr string) (stop func())
	}{
		{"bodies one byte short", func(t *testing.T, addr string) func() {
			return crowd(t, addr, crowdSize, sized(gatewayPath, padded(gatewayBody), gatewayBody, 1))
		}},
		{"bodies in pieces that stop short", func(t *testing.T, addr string) func() {
			return crowd(t, addr, crowdSize, sized(gatewayPath, padded(gatewayBody), piece, 1))
		}},
		{"whole bodies", func(t *testing.T, addr string) func() {
			return crowd(t, addr, crowdSize, sized(gatewayPath, padded(gatewayBody), gatewayBody, 0))
		}},
		{"large chunks that stop short", func(t *testing.T, addr string) func() {
			return crowd(t, addr, crowdSize, chunked(gatewayPath, padded(nodeChunked), largeChunk))
		}},
		{"small chunks that stop short", func(t *testing.T, addr string) func() {
			return crowd(t, addr, crowdSize, chunked(gatewayPath, padded(nodeChunked), smallChunk))
		}},
		{"trickled headers", func(t *testing.T, addr string) func() { return crowd(t, addr, crowdSize, trickledHeader) }},
		{"idle connections", func(t *testing.T, addr string) func() { return crowd(t, addr, crowdSize, idle) }},
		{"unread metrics", func(t *testing.T, addr string) func() {
			return crowd(t, addr, crowdSize, pipelined("/metrics"))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, addr := startGateway(t, programs)
			idleMemory := s.memory(t, "VmRSS")
			stop := c.start(t, addr)
			defer stop()
			s.check(t, idleMemory, func(int) bool {
				return statusOf(http.MethodPost, addr, "h", "/v1/jobs", gatewayJob) == http.StatusAccepted
			})
		})
	}
}

func requireSelected(t *testing.T) {
	if os.Getenv("CLIENTS") == "" {
		t.Skip("starts processes and opens many connections on the loopback network; run it with make client-test")
	}
}

// check requires that the process lives, keeps its bounds and answers an ordinary request.
func (s *server) check(t *testing.T, idleMemory int64, ordinary func(try int) bool) {
	time.Sleep(settleTime)
	answered := false
	for try := 0; try < answerTries && !answered; try++ {
		if answered = ordinary(try); !answered {
			time.Sleep(answerPause)
		}
	}
	require.True(t, s.running(), "the process has ended")
	most := s.memory(t, "VmHWM")
	t.Logf("idle %.1f MB, most %.1f MB, most descriptors %d, ordinary request answered: %v", float64(idleMemory)/(1<<20),
		float64(most)/(1<<20), s.mostDescriptors(), answered)
	assert.True(t, answered, "an ordinary request got no response")
	assert.LessOrEqual(t, most, int64(memoryMB)<<20, "most resident memory")
	assert.LessOrEqual(t, s.mostDescriptors(), maxDescriptors, "most open descriptors")
}

// asksRelay reports whether the relay answers a question of another instance.
func asksRelay(t *testing.T, to catalog.Endpoint) bool {
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	_, err := relay.NewClient().State(ctx, to, workflow.JobID("5c0e7a21d94b36f8"))
	return err == nil
}
