package lab

import (
	"encoding/binary"
	"net/netip"
)

// Flags of a packet (PROTOCOL.md, "Packets").
const (
	flagACK     = 1
	flagBounced = 2
	flagFIN     = 8
	flagSYN     = 32
	flagRST     = 64
)

const headLength = 34

// packet is one datagram of a flow in the platform's form.
type packet []byte

func newPacket(from, to netip.AddrPort, flags byte, seq, ack uint32, data []byte) packet {
	p := make(packet, headLength+len(data))
	p[0] = flags
	binary.LittleEndian.PutUint16(p[4:], uint16(len(data)))
	binary.LittleEndian.PutUint32(p[10:], seq)
	binary.LittleEndian.PutUint32(p[14:], ack)
	binary.LittleEndian.PutUint16(p[18:], from.Port())
	binary.LittleEndian.PutUint16(p[20:], to.Port())
	putIP(p[22:], from.Addr())
	putIP(p[26:], to.Addr())
	copy(p[headLength:], data)
	binary.LittleEndian.PutUint32(p[30:], p.computeSum())
	return p
}

func putIP(field []byte, address netip.Addr) {
	octets := address.As4()
	binary.LittleEndian.PutUint32(field, binary.BigEndian.Uint32(octets[:]))
}

func ipAt(field []byte) netip.Addr {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], binary.LittleEndian.Uint32(field))
	return netip.AddrFrom4(octets)
}

func (p packet) flags() byte  { return p[0] }
func (p packet) seq() uint32  { return binary.LittleEndian.Uint32(p[10:]) }
func (p packet) ack() uint32  { return binary.LittleEndian.Uint32(p[14:]) }
func (p packet) sum() uint32  { return binary.LittleEndian.Uint32(p[30:]) }
func (p packet) data() []byte { return p[headLength:] }
func (p packet) valid() bool {
	return len(p) >= headLength && int(binary.LittleEndian.Uint16(p[4:])) == len(p)-headLength
}

func (p packet) source() netip.AddrPort {
	return netip.AddrPortFrom(ipAt(p[22:]), binary.LittleEndian.Uint16(p[18:]))
}

func (p packet) destination() netip.AddrPort {
	return netip.AddrPortFrom(ipAt(p[26:]), binary.LittleEndian.Uint16(p[20:]))
}

// computeSum returns the sum over all but pad, echo, the BOUNCED flag and the sum itself. The real
// sum is keyed; here any sum will do, since burlmill doesn't know the key.
func (p packet) computeSum() uint32 {
	sum := uint32(2166136261)
	for i, b := range p {
		switch {
		case i == 0:
			b &^= flagBounced
		case i >= 1 && i < 4, i >= 6 && i < 10, i >= 30 && i < 34:
			continue
		}
		sum = (sum ^ uint32(b)) * 16777619
	}
	return sum
}
