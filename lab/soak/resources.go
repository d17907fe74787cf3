package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/store"
)

const (
	// largeMessageBytes is the size of a large request or response.
	largeMessageBytes = 12 << 20
	// largeMessages is the number of large messages of one fault, sent largeInterval apart.
	largeMessages = 16
	largeInterval = 60 * time.Millisecond
	// slowReadBytes is what a slow reader reads each slowReadInterval.
	slowReadBytes    = 256 << 10
	slowReadInterval = 25 * time.Millisecond
	// nodePrefix is the prefix of the keys of nodes' entries.
	nodePrefix = "lugspur/"
	// deepNesting is the number of levels of a deeply nested value.
	deepNesting = 60_000
)

// sendLargeMessages sends requests to the machine that have a large body, or whose large responses
// are read slowly.
func (i *injector) sendLargeMessages(ctx context.Context, fault Fault) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callDeadline + responseGrace}
	service := services[fault.Machine%len(services)]
	var sending sync.WaitGroup
	defer sending.Wait()
	for range largeMessages {
		pause.For(ctx, largeInterval)
		request := i.callers.newCrashingRequest(largePath(service))
		request.CrashesTarget, request.Large, request.Machine = false, true, fault.Machine
		body := []byte("body")
		if fault.Kind == LargeBodies {
			request.Path = readPath(service) + "upload"
			body = make([]byte, largeMessageBytes)
		}
		sending.Go(func() { i.callers.sendBody(client, request, body, readSlowly) })
	}
}

// readSlowly reads the content, slowReadBytes at most per slowReadInterval, and returns its end.
func readSlowly(content io.Reader) ([]byte, error) {
	var tail []byte
	buffer := make([]byte, slowReadBytes)
	for {
		n, err := content.Read(buffer)
		tail = append(tail, buffer[:n]...)
		tail = tail[max(len(tail)-tailBytes, 0):]
		if errors.Is(err, io.EOF) {
			return bytes.TrimLeft(tail, "\x00"), nil
		}
		if err != nil {
			return nil, err
		}
		time.Sleep(slowReadInterval * time.Duration(n) / slowReadBytes)
	}
}

// tailBytes is the length of the end of a large response that is judged. It exceeds the response
// without its padding.
const tailBytes = 256

// oddValues returns values that no node writes. The address is that of a node which does not exist.
func oddValues(address string) [][]byte {
	record := func(field int, value any) []byte {
		fields := map[int]any{1: "i-odd", 2: services[0], 3: zones[0], 4: address, 5: 8, 6: 1, 7: 1}
		fields[field] = value
		content, err := cbor.Marshal(fields)
		if err != nil {
			panic(err)
		}
		return content
	}
	return [][]byte{
		nil,
		[]byte("\xff\xfe\x00"),
		[]byte(strings.Repeat("[", deepNesting)),
		bytes.Repeat([]byte{0x81}, deepNesting),
		{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		{0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		record(4, "127.0.0.1:99999"),
		record(5, uint64(math.MaxUint64)),
		record(5, int64(math.MaxInt64)),
		record(6, 200),
		record(9, math.Inf(1)),
	}
}

// writeOddEntries writes entries under the prefixes of nodes' entries.
func (i *injector) writeOddEntries(ctx context.Context) {
	for _, kind := range []string{"homes/", "departures/", "shards/", "quarantine/"} {
		for number, value := range oddValues("127.0.0.1:99999") {
			key := fmt.Sprintf("%s%s127.0.0.1:%d", nodePrefix, kind, 99000+number)
			current, err := i.deployment.store.Get(ctx, key)
			if err == nil || current.Revision == 0 {
				_, _ = i.deployment.store.CompareAndSwap(ctx, key, current.Revision, value, store.NoLease)
			}
		}
	}
}

// restartOnUsedAddress kills the machine's node and starts it again while another socket listens at
// one of its addresses.
func (i *injector) restartOnUsedAddress(ctx context.Context, fault Fault) {
	end := i.recorder.beginDisturbance(processRestart, fault.Machine, false)
	defer end()
	m := i.deployment.machines[fault.Machine]
	m.killNode()
	addresses := []string{m.callAddress, m.readyAddress, m.heartbeatAddress}
	if listener, err := net.Listen("tcp", addresses[int(fault.At)%len(addresses)]); err == nil {
		defer func() { _ = listener.Close() }()
	}
	i.restart(fault.Machine)
	pause.For(ctx, min(fault.For, maxAddressUse))
}

// maxAddressUse is the longest time for which an address of a starting node is used by another
// socket.
const maxAddressUse = 1500 * time.Millisecond
