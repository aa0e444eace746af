package configstore

import (
	"encoding/json"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// DecodeHead decodes the value of the head object. A malformed value is a PeerMessage error.
func DecodeHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return head, fault.Wrap(fault.PeerMessage, "configstore", "decode head", err)
	}
	return head, nil
}

// Assemble builds the configuration of a head from the values of its chunks, keyed by hash. It
// verifies each hash and returns PeerMessage when a chunk is missing or invalid, so that no
// configuration is applied in part.
func Assemble(head Head, revision uint64, values map[string][]byte) (*estate.Configuration, error) {
	configuration := &estate.Configuration{}
	for _, chunk := range head.Chunks {
		value, found := values[chunk.Hash]
		if !found || ChunkHash(value) != chunk.Hash {
			return nil, fault.New(fault.PeerMessage, "chunk "+chunk.Kind+" is missing or does not match its hash")
		}
		if err := decodeChunk(configuration, chunk, value); err != nil {
			return nil, err
		}
	}
	configuration.Revision = revision
	return configuration, nil
}

func decodeChunk(configuration *estate.Configuration, chunk Chunk, value []byte) error {
	var err error
	switch chunk.Kind {
	case kindBackendServers:
		var servers []estate.BackendServer
		err = json.Unmarshal(value, &servers)
		configuration.BackendServers = append(configuration.BackendServers, servers...)
	case kindClientAccounts:
		var accounts []estate.ClientAccount
		err = json.Unmarshal(value, &accounts)
		configuration.ClientAccounts = append(configuration.ClientAccounts, accounts...)
	case kindGeneral:
		servers, accounts := configuration.BackendServers, configuration.ClientAccounts
		err = json.Unmarshal(value, configuration)
		configuration.BackendServers, configuration.ClientAccounts = servers, accounts
	}
	if err != nil {
		return fault.Wrap(fault.PeerMessage, "configstore", "decode chunk "+chunk.Kind, err)
	}
	return nil
}
