package handshake

// contentProgress is the position up to which a caller's content has been seen. It distinguishes new
// content from retransmissions. The zero value means that none has been seen.
type contentProgress struct {
	end   uint32 // end of the content in the caller's byte stream, if valid; wraps around
	valid bool   // some content has been seen
}

// advance moves the position past a datagram's content. It reports whether any of the content is
// new.
func (p *contentProgress) advance(datagram *Datagram) (advanced bool) {
	if datagram.PayloadLength == 0 {
		return false
	}
	end := datagram.Number + uint32(datagram.PayloadLength)
	if p.valid && int32(end-p.end) <= 0 {
		return false
	}
	p.end, p.valid = end, true
	return true
}

// isRetransmission moves the position past the content of a caller's datagram, and reports whether
// the datagram has content of which none is new.
func (p *contentProgress) isRetransmission(datagram *Datagram) bool {
	return datagram.Kind == Data && datagram.PayloadLength > 0 && !p.advance(datagram)
}
