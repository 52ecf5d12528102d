package shutdown

const (
	// sendMemory is the part of a process's memory that sockets may hold while it stops, firstSendMemory the part of that
	// for the requests in progress at the signal, and nextSendMemory the part of what is left for each later one.
	sendMemory, firstSendMemory, nextSendMemory = 0.125, 0.5, 0.0625
	maxSendBuffer                               = 4 << 20
)

// SendBuffers divides memory among the sockets of a process that stops. What a socket holds when the process ends is
// still delivered, so callers that read slowly get the rest of a response that is ready. Nothing is taken back, as each
// connection is closed after its response. The zero SendBuffers divides nothing. It is not safe for concurrent use.
type SendBuffers struct{ left int64 }

// DivideSendBuffers returns the division for a process with memory bytes and a number of requests in progress, and the
// size of the send buffer for each of these, in bytes.
func DivideSendBuffers(memory int64, inProgress int) (b SendBuffers, each int) {
	b.left = int64(sendMemory * float64(memory))
	each = min(int(firstSendMemory*float64(b.left))/max(1, inProgress), maxSendBuffer)
	b.left -= int64(each) * int64(inProgress)
	return b, each
}

// Next returns the size of the send buffer for one more request, in bytes.
func (b *SendBuffers) Next() int {
	n := min(int(nextSendMemory*float64(b.left)), maxSendBuffer)
	b.left -= int64(n)
	return n
}
