package guard

import "encoding/binary"

// HTTP/2 frames, by RFC 9113.
const (
	frameHeaderBytes = 9
	prefaceBytes     = 24

	frameData, frameHeaders, frameReset = 0x0, 0x1, 0x3
	flagEndStream                       = 0x1
)

// frame is the header of an HTTP/2 frame.
type frame struct {
	length      int
	kind, flags byte
	stream      uint32
}

// frameScanner finds the frames in what goes over a connection in one direction.
type frameScanner struct {
	header [frameHeaderBytes]byte
	// have is the number of bytes of the header that have come, skip that of further bytes before the next header.
	have, skip int
}

// scan calls found with each frame whose header ends in p.
func (s *frameScanner) scan(p []byte, found func(frame)) {
	for len(p) > 0 {
		if s.skip > 0 {
			n := min(s.skip, len(p))
			s.skip -= n
			p = p[n:]
			continue
		}
		n := copy(s.header[s.have:], p)
		s.have += n
		p = p[n:]
		if s.have < frameHeaderBytes {
			return
		}
		s.have = 0
		f := frame{
			length: int(binary.BigEndian.Uint32(s.header[:4]) >> 8),
			kind:   s.header[3], flags: s.header[4], stream: binary.BigEndian.Uint32(s.header[5:]) &^ (1 << 31),
		}
		s.skip = f.length
		found(f)
	}
}
