// Package stream holds the tokens of one generation between the engine that
// produces them and the readers that relay them. A token is identified by
// generation, attempt and index; the buffer admits each index once, in order,
// and only from the current attempt.
//
// Buffer is safe for concurrent use. Its mutex is a leaf in the lock order: no
// other lock is taken while it is held.
package stream

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/engine"
)

// Errors of a Buffer.
var (
	// ErrStaleAttempt refuses a token of an attempt that was superseded.
	ErrStaleAttempt = errors.New("token of a superseded attempt")
	// ErrGap refuses a token that leaves out an index.
	ErrGap = errors.New("token index leaves a gap")
	// ErrTrimmed says that a reader asks for tokens that are no longer held.
	ErrTrimmed = errors.New("tokens are no longer held")
	// ErrAhead says that a reader asks for an index beyond the next one.
	ErrAhead = errors.New("index is beyond the stream")
	// ErrDigest says that the tokens differ from the engine's record.
	ErrDigest = errors.New("digest differs from the engine's record")
)

// End closes a stream that is whole.
type End struct {
	Tokens       uint64
	Digest       uint64
	FinishReason string
}

// Buffer keeps a bounded window of a generation's latest tokens.
type Buffer struct {
	maxBytes int

	mu      sync.Mutex
	attempt uint32
	data    []byte
	// ends[i] is the offset in data behind token base+i.
	ends    []uint32
	base    uint64
	digest  engine.Digest
	end     *End
	err     error
	readers []*Reader
}

// NewBuffer returns a buffer that keeps at most maxBytes of token text.
func NewBuffer(maxBytes int) *Buffer {
	return &Buffer{maxBytes: maxBytes, digest: engine.NewDigest()}
}

// BeginAttempt raises the current attempt; tokens of lower ones are refused from now
// on. It returns ErrStaleAttempt if attempt is not above the current one.
func (b *Buffer) BeginAttempt(attempt uint32) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt <= b.attempt {
		return ErrStaleAttempt
	}
	b.attempt = attempt
	return nil
}

// Attempt is the current attempt.
func (b *Buffer) Attempt() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempt
}

// Append adds the token at index. An index that is already held is dropped
// without error, because engines repeat tokens after a re-attach.
func (b *Buffer) Append(attempt uint32, index uint64, text []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A paused reader of a superseded engine stream can deliver late. Without
	// this check its tokens would follow those of the new attempt and the
	// caller would see two generations spliced. The attempt is compared under
	// the lock that Begin takes, so no late token can pass in between.
	if attempt != b.attempt {
		return ErrStaleAttempt
	}
	next := b.next()
	if index < next {
		return nil
	}
	if index > next {
		return errors.Wrapf(ErrGap, "got %d, want %d", index, next)
	}
	b.data = append(b.data, text...)
	b.ends = append(b.ends, uint32(len(b.data)))
	b.digest.Add(text)
	b.trim()
	b.wake()
	return nil
}

// trim drops the oldest half once the window is full, so that the cost of
// moving bytes is spread over as many tokens.
func (b *Buffer) trim() {
	if len(b.data) <= b.maxBytes {
		return
	}
	drop := len(b.ends) / 2
	off := b.ends[drop-1]
	b.data = b.data[:copy(b.data, b.data[off:])]
	n := copy(b.ends, b.ends[drop:])
	b.ends = b.ends[:n]
	for i := range b.ends {
		b.ends[i] -= off
	}
	b.base += uint64(drop)
}

// Finish closes the stream as whole. It returns ErrDigest, and fails the
// stream with it, if the tokens are not those that the engine recorded.
func (b *Buffer) Finish(attempt uint32, end End) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return ErrStaleAttempt
	}
	if b.closed() {
		return nil
	}
	defer b.wake()
	if end.Tokens != b.next() {
		b.err = errors.Wrapf(ErrGap, "engine sent %d tokens, %d arrived", end.Tokens, b.next())
		return b.err
	}
	if end.Digest != b.digest.Sum() {
		b.err = ErrDigest
		return b.err
	}
	b.end = &end
	return nil
}

// Fail closes the stream with err. A stream that is closed stays as it is.
func (b *Buffer) Fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed() {
		return
	}
	b.err = err
	b.wake()
}

// Closed reports whether the stream has ended, whole or failed.
func (b *Buffer) Closed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed()
}

// Failed reports whether the stream has ended without being whole.
func (b *Buffer) Failed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err != nil
}

func (b *Buffer) closed() bool {
	return b.end != nil || b.err != nil
}

// NextIndex is the index of the next token to arrive.
func (b *Buffer) NextIndex() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next()
}

func (b *Buffer) next() uint64 {
	return b.base + uint64(len(b.ends))
}

// Readers is the number of open readers.
func (b *Buffer) Readers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.readers)
}

// Prefix copies all tokens from index 0, or returns ErrTrimmed.
func (b *Buffer) Prefix() ([][]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.base > 0 {
		return nil, ErrTrimmed
	}
	data := append([]byte(nil), b.data...)
	out := make([][]byte, len(b.ends))
	from := uint32(0)
	for i, end := range b.ends {
		out[i] = data[from:end:end]
		from = end
	}
	return out, nil
}

// Preload puts the tokens of an earlier attempt in front of an empty buffer.
func (b *Buffer) Preload(prefix [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range prefix {
		b.data = append(b.data, text...)
		b.ends = append(b.ends, uint32(len(b.data)))
		b.digest.Add(text)
	}
}

func (b *Buffer) wake() {
	for _, r := range b.readers {
		select {
		case r.ready <- struct{}{}:
		default:
		}
	}
}

// Batch is a run of consecutive tokens. Its memory is reused by the next read.
type Batch struct {
	First   uint64
	Attempt uint32
	Texts   [][]byte
	data    []byte
}

// Reader follows a buffer from an index. It is for one goroutine.
type Reader struct {
	buf   *Buffer
	next  uint64
	ready chan struct{}
}

// NewReader returns a reader whose first token is next; the caller closes it.
func (b *Buffer) NewReader(next uint64) *Reader {
	r := &Reader{buf: b, next: next, ready: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers = append(b.readers, r)
	return r
}

// Close ends the reader.
func (r *Reader) Close() {
	r.buf.mu.Lock()
	defer r.buf.mu.Unlock()
	for i, other := range r.buf.readers {
		if other == r {
			r.buf.readers = append(r.buf.readers[:i], r.buf.readers[i+1:]...)
			return
		}
	}
}

// Read blocks until there are tokens and copies all of them, at most maxTokens,
// into batch. At the end of a whole stream it returns the End and no tokens; a
// failed stream's error comes after its last token.
func (r *Reader) Read(ctx context.Context, batch *Batch, maxTokens int) (*End, error) {
	for {
		done, end, err := r.take(batch, maxTokens)
		if done {
			return end, err
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (r *Reader) take(batch *Batch, maxTokens int) (bool, *End, error) {
	b := r.buf
	b.mu.Lock()
	defer b.mu.Unlock()
	batch.Texts = batch.Texts[:0]
	if r.next < b.base {
		return true, nil, ErrTrimmed
	}
	if r.next > b.next() {
		if b.closed() {
			return true, nil, ErrAhead
		}
		return false, nil, nil
	}
	if r.next < b.next() {
		r.copyOut(batch, maxTokens)
		return true, nil, nil
	}
	if b.err != nil {
		return true, nil, b.err
	}
	return b.end != nil, b.end, nil
}

func (r *Reader) copyOut(batch *Batch, maxTokens int) {
	b := r.buf
	first := int(r.next - b.base)
	last := min(len(b.ends), first+maxTokens)
	start := uint32(0)
	if first > 0 {
		start = b.ends[first-1]
	}
	batch.First = r.next
	batch.Attempt = b.attempt
	batch.data = append(batch.data[:0], b.data[start:b.ends[last-1]]...)
	from := uint32(0)
	for _, end := range b.ends[first:last] {
		to := end - start
		batch.Texts = append(batch.Texts, batch.data[from:to:to])
		from = to
	}
	r.next += uint64(last - first)
}
