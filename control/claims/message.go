package claims

import (
	"encoding/json"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

const domain = "control/claims"

// operationMessage is a claim operation on its way to another instance.
type operationMessage struct {
	Region    string              `json:"region"`
	Kind      claim.OperationKind `json:"kind"`
	Key       []byte              `json:"key"`
	Attempt   claim.AttemptID     `json:"attempt"`
	Hash      claim.BodyHash      `json:"hash"`
	Retention time.Duration       `json:"retention_ns"`
	Timeout   time.Duration       `json:"timeout_ns"`
	Outcome   claim.Outcome       `json:"outcome,omitzero"`
}

// answerMessage is the home's answer.
type answerMessage struct {
	Verdict claim.Result  `json:"verdict"`
	Outcome claim.Outcome `json:"outcome,omitzero"`
}

func encodeOperation(shard claim.Shard, operation claim.Operation) ([]byte, error) {
	return encode(operationMessage{
		Region:    shard.Region,
		Kind:      operation.Kind,
		Key:       operation.Key[:],
		Attempt:   operation.Attempt,
		Hash:      operation.Hash,
		Retention: operation.Retention,
		Timeout:   operation.Timeout,
		Outcome:   operation.Outcome,
	})
}

// decodeOperation reads an operation for the shard of the given index.
func decodeOperation(index uint32, payload []byte) (claim.Shard, claim.Operation, error) {
	var message operationMessage
	if err := json.Unmarshal(payload, &message); err != nil {
		return claim.Shard{}, claim.Operation{}, fault.Wrap(fault.PeerMessage, domain, "decode operation", err)
	}
	operation := claim.Operation{
		Kind:      message.Kind,
		Attempt:   message.Attempt,
		Hash:      message.Hash,
		Retention: message.Retention,
		Timeout:   message.Timeout,
		Outcome:   message.Outcome,
	}
	if len(message.Key) != len(operation.Key) || index >= claim.ShardsPerRegion {
		return claim.Shard{}, operation, fault.New(fault.PeerMessage, "the operation names no key or shard")
	}
	operation.Key = claim.Key(message.Key)
	shard := claim.ShardOf(message.Region, operation.Key)
	if shard.Index != int(index) {
		return shard, operation, fault.New(fault.PeerMessage, "the key belongs to another shard")
	}
	return shard, operation, nil
}

func decodeAnswer(id uint64, payload []byte) (claim.Answer, error) {
	var message answerMessage
	if err := json.Unmarshal(payload, &message); err != nil {
		return claim.Answer{}, fault.Wrap(fault.PeerMessage, domain, "decode answer", err)
	}
	return claim.Answer{ID: id, Result: message.Verdict, Outcome: message.Outcome}, nil
}

func encode(message any) ([]byte, error) {
	payload, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, domain, "encode message", err)
	}
	return payload, nil
}
