package configuration

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"io"
	"slices"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
)

// ReplyTo returns what a peer needs to come from its chunks to the copy. A
// peer whose revision is not known gets everything.
func NewReply(held *Copy, known []configstore.Chunk) (*peerpb.ConfigurationReply, error) {
	reply := &peerpb.ConfigurationReply{Revision: held.revision, Whole: known == nil}
	for _, chunk := range held.chunks {
		if slices.Contains(known, chunk) {
			continue
		}
		message, err := chunkMessage(chunk, held.values[chunk.Hash])
		if err != nil {
			return nil, err
		}
		reply.Chunks = append(reply.Chunks, message)
	}
	for _, chunk := range known {
		gone := !slices.ContainsFunc(held.chunks, func(c configstore.Chunk) bool { return sameBucket(c, chunk) })
		if gone {
			reply.Removed = append(reply.Removed, &peerpb.Chunk{Kind: chunk.Kind, Bucket: uint32(chunk.Bucket)})
		}
	}
	return reply, nil
}

// Merge builds the copy of a reply on top of the held one. Errors: PeerMessage
// when anything does not fit.
func Merge(held *Copy, reply *peerpb.ConfigurationReply) (*Copy, error) {
	var chunks []configstore.Chunk
	values := make(map[string][]byte)
	if !reply.GetWhole() {
		if held == nil {
			return nil, fault.New(fault.PeerMessage, "a difference arrived without a revision it builds on")
		}
		for _, chunk := range held.chunks {
			if !replaced(chunk, reply.GetChunks()) && !replaced(chunk, reply.GetRemoved()) {
				chunks = append(chunks, chunk)
				values[chunk.Hash] = held.values[chunk.Hash]
			}
		}
	}
	for _, message := range reply.GetChunks() {
		body, err := inflate(message.GetBody())
		if err != nil {
			return nil, err
		}
		chunk := chunkOf(message)
		chunks = append(chunks, chunk)
		values[chunk.Hash] = body
	}
	return NewCopy(reply.GetRevision(), chunks, values)
}

func replaced(chunk configstore.Chunk, messages []*peerpb.Chunk) bool {
	return slices.ContainsFunc(messages, func(m *peerpb.Chunk) bool { return sameBucket(chunk, chunkOf(m)) })
}

func chunkMessage(chunk configstore.Chunk, value []byte) (*peerpb.Chunk, error) {
	hash, err := hex.DecodeString(chunk.Hash)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "configuration", "decode hash", err)
	}
	body, err := deflate(value)
	if err != nil {
		return nil, err
	}
	return &peerpb.Chunk{Kind: chunk.Kind, Bucket: uint32(chunk.Bucket), Hash: hash, Body: body}, nil
}

func chunkOf(message *peerpb.Chunk) configstore.Chunk {
	return configstore.Chunk{
		Kind:   message.GetKind(),
		Bucket: int(message.GetBucket()),
		Hash:   hex.EncodeToString(message.GetHash()),
	}
}

func deflate(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err == nil {
		_, err = writer.Write(value)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "configuration", "compress chunk", err)
	}
	return compressed.Bytes(), nil
}

func inflate(body []byte) ([]byte, error) {
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(body)), objectstore.MaxValueBytes+1)
	value, err := io.ReadAll(limited)
	if err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "configuration", "decompress chunk", err)
	}
	if len(value) > objectstore.MaxValueBytes {
		return nil, fault.New(fault.PeerMessage, "a chunk is over the size limit")
	}
	return value, nil
}
