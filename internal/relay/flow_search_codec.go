// This file encodes and decodes the messages about where flows are held: queries, hints, searches, the
// locations that agents store for each other, and summaries of the flows of an agent.

package relay

import (
	"fmt"

	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/handshake"
)

// decodeFlowQueryAnswer rejects unknown values of Holding, which would otherwise be treated as
// handshake.HoldsNot or be truncated to a known value.
func decodeFlowQueryAnswer(encoded *burlmillv1.HandshakeLocated) (handshake.Message, error) {
	holding := encoded.GetHolding()
	if holding < uint32(handshake.HoldsNot) || holding > uint32(handshake.HoldsNoLonger) {
		return nil, fault.InvalidField("holding", holding, fmt.Sprintf("must be 1 to %d", handshake.HoldsNoLonger))
	}
	key, err := decodeKey(encoded.GetKey())
	if err != nil {
		return nil, err
	}
	location, err := decodeOptionalAddress(encoded.GetLocation())
	return handshake.FlowQueryAnswer{Key: key, Holding: handshake.Holding(holding), Location: location}, err
}

func encodeStoreLocations(message handshake.StoreLocations) *burlmillv1.HandshakeStoreLocations {
	encoded := &burlmillv1.HandshakeStoreLocations{}
	for _, location := range message.Locations {
		encoded.Locations = append(encoded.Locations, &burlmillv1.HandshakeLocation{
			Key: encodeKey(location.Key), Confirms: location.Confirms, Agent: encodeAddress(location.Agent)})
	}
	return encoded
}

func decodeStoreLocations(encoded *burlmillv1.HandshakeStoreLocations) (handshake.Message, error) {
	if count := len(encoded.GetLocations()); count > handshake.MaxLocationsPerMessage {
		return nil, fault.InvalidField("locations", count,
			fmt.Sprintf("must be at most %d", handshake.MaxLocationsPerMessage))
	}
	skipped := Skipped{}
	message := handshake.StoreLocations{Locations: decodeEach(encoded.GetLocations(), decodeLocation, &skipped)}
	return message, skipped.Err()
}

func decodeLocation(encoded *burlmillv1.HandshakeLocation) (handshake.FlowLocation, error) {
	key, err := decodeKey(encoded.GetKey())
	if err != nil {
		return handshake.FlowLocation{}, err
	}
	agent, err := decodeAddress(encoded.GetAgent())
	return handshake.FlowLocation{Key: key, Confirms: encoded.GetConfirms(), Agent: agent}, err
}

func decodeHint(encoded *burlmillv1.HandshakeHint) (handshake.Message, error) {
	key, err := decodeKey(encoded.GetKey())
	if err != nil {
		return nil, err
	}
	agent, err := decodeOptionalAddress(encoded.GetAgent())
	return handshake.Hint{Key: key, Agent: agent}, err
}

func decodeSearch(encoded *burlmillv1.HandshakeSearch) (handshake.Message, error) {
	key, err := decodeKey(encoded.GetKey())
	if err != nil {
		return nil, err
	}
	agents, err := decodeAddresses(encoded.GetAgents())
	return handshake.Search{Key: key, Confirms: encoded.GetConfirms(), Agents: agents,
		Datagram: encoded.GetDatagram(), RequestNumber: encoded.GetQuestion()}, err
}

func encodeSearchAnswer(answer handshake.SearchAnswer) *burlmillv1.HandshakeFound {
	return &burlmillv1.HandshakeFound{Key: encodeKey(answer.Key), Agent: encodeOptionalAddress(answer.Agent),
		Perhaps: encodeAddresses(answer.PossibleHolders), Unanswered: answer.Unanswered, Question: answer.RequestNumber}
}

func decodeSearchAnswer(encoded *burlmillv1.HandshakeFound) (handshake.Message, error) {
	key, err := decodeKey(encoded.GetKey())
	if err != nil {
		return nil, err
	}
	answer := handshake.SearchAnswer{Key: key, Unanswered: encoded.GetUnanswered(), RequestNumber: encoded.GetQuestion()}
	if answer.PossibleHolders, err = decodeAddresses(encoded.GetPerhaps()); err != nil || len(encoded.GetAgent()) == 0 {
		return answer, err
	}
	answer.Agent, err = decodeAddress(encoded.GetAgent())
	return answer, err
}

func decodeFlowSummary(encoded *burlmillv1.HandshakeDigest) (handshake.Message, error) {
	if size := len(encoded.GetFilter()); size > handshake.MaxFilterBytes {
		return nil, fault.New(fault.Invalid, "filter of digest has %d bytes, must be at most %d", size, handshake.MaxFilterBytes)
	}
	return handshake.FlowSummary{Round: encoded.GetCensus(), Filter: encoded.GetFilter(),
		MayHold: encoded.GetMayHold()}, nil
}
