package handshake

// contentMark is how far a caller's content has passed on a flow. The zero value: none has.
type contentMark struct {
	end   uint32 // where it ends, if any
	known bool   // there was some
}

// take notes a datagram's content. It says whether some of it has not passed before.
func (m *contentMark) take(datagram *Datagram) (news bool) {
	if datagram.Payload == 0 {
		return false
	}
	end := datagram.Number + uint32(datagram.Payload)
	if m.known && int32(end-m.end) <= 0 {
		return false
	}
	m.end, m.known = end, true
	return true
}

// repeats says whether a caller's datagram holds content, and none that has not passed before.
func (m *contentMark) repeats(datagram *Datagram) bool {
	return datagram.Kind == Data && datagram.Payload > 0 && !m.take(datagram)
}
