package main

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags and layout of the packets of flows.
const (
	flagACK     = 1
	flagBounced = 2
	flagFIN     = 8
	flagSYN     = 32
	flagRST     = 64

	headLength = 34
	maxData    = 1200
)

// packet is one packet of a flow.
type packet struct {
	flags    byte
	seq, ack uint32
	from, to netip.AddrPort
	data     []byte
}

// secret is the key of the sum; the system does not know it.
var secret = []byte("not told to the system")

func encode(p packet) []byte {
	b := make([]byte, headLength+len(p.data))
	b[0] = p.flags
	binary.LittleEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[10:], p.seq)
	binary.LittleEndian.PutUint32(b[14:], p.ack)
	binary.LittleEndian.PutUint16(b[18:], p.from.Port())
	binary.LittleEndian.PutUint16(b[20:], p.to.Port())
	putIP(b[22:], p.from.Addr())
	putIP(b[26:], p.to.Addr())
	copy(b[headLength:], p.data)
	binary.LittleEndian.PutUint32(b[30:], sum(b))
	return b
}

func putIP(b []byte, ip netip.Addr) {
	four := ip.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(four[:]))
}

func getIP(b []byte) netip.Addr {
	var four [4]byte
	binary.BigEndian.PutUint32(four[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(four)
}

// decode decodes a packet; false if it is malformed.
func decode(b []byte) (packet, bool) {
	if len(b) < headLength || int(binary.LittleEndian.Uint16(b[4:])) != len(b)-headLength {
		return packet{}, false
	}
	return packet{
		flags: b[0], seq: binary.LittleEndian.Uint32(b[10:]), ack: binary.LittleEndian.Uint32(b[14:]),
		from: netip.AddrPortFrom(getIP(b[22:]), binary.LittleEndian.Uint16(b[18:])),
		to:   netip.AddrPortFrom(getIP(b[26:]), binary.LittleEndian.Uint16(b[20:])),
		data: bytes.Clone(b[headLength:]),
	}, true
}

// sum is the keyed sum over all of the packet but echo, pad, BOUNCED and itself.
func sum(b []byte) uint32 {
	covered := bytes.Clone(b)
	covered[0] &^= flagBounced
	clear(covered[1:4])
	clear(covered[6:10])
	clear(covered[30:34])
	hash := fnv.New32a()
	_, _ = hash.Write(secret)
	_, _ = hash.Write(covered)
	return hash.Sum32()
}

func sumIsValid(b []byte) bool { return binary.LittleEndian.Uint32(b[30:]) == sum(b) }
