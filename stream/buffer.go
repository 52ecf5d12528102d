// Package stream buffers the tokens of one generation between the engine that
// produces them and the readers that relay them. A token is identified by
// generation, attempt and index. The buffer accepts each index once, in order,
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
	// ErrStaleAttempt means that the attempt is not the current one, or not
	// above it in BeginAttempt.
	ErrStaleAttempt = errors.New("token of a superseded attempt")
	// ErrGap means that tokens are missing before an index or the end.
	ErrGap = errors.New("token index leaves a gap")
	// ErrTrimmed means that the buffer has already dropped the requested tokens.
	ErrTrimmed = errors.New("tokens are no longer held")
	// ErrBeyondEnd means that the requested index is beyond the end of a closed
	// stream.
	ErrBeyondEnd = errors.New("index is beyond the stream")
	// ErrDigestMismatch means that the tokens differ from those that the engine
	// has recorded.
	ErrDigestMismatch = errors.New("digest differs from the engine's record")
)

// End describes a complete stream.
type End struct {
	Tokens       uint64
	Digest       uint64
	FinishReason string
}

// Buffer keeps the latest tokens of a generation, up to a limit.
type Buffer struct {
	maxBytes int

	mu      sync.Mutex
	attempt uint32
	// data is the text of the kept tokens; ends[i] is the offset in data after
	// the token with index base+i.
	data   []byte
	ends   []uint32
	base   uint64
	digest engine.Digest
	// end is set when the stream is complete, err when it has failed.
	end     *End
	err     error
	readers []*Reader
}

// NewBuffer returns a buffer that keeps at most maxBytes of token text.
func NewBuffer(maxBytes int) *Buffer {
	return &Buffer{maxBytes: maxBytes, digest: engine.NewDigest()}
}

// BeginAttempt makes attempt the current one; tokens of lower attempts are
// refused from now on. It returns ErrStaleAttempt if attempt is not above the
// current one.
func (b *Buffer) BeginAttempt(attempt uint32) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt <= b.attempt {
		return ErrStaleAttempt
	}
	b.attempt = attempt
	return nil
}

// Attempt returns the current attempt.
func (b *Buffer) Attempt() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempt
}

// Append adds the token at index. A token that has already arrived is ignored
// without error, because engines repeat tokens after a re-attach.
func (b *Buffer) Append(attempt uint32, index uint64, text []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The goroutine that reads a superseded engine stream can be late. Without
	// this check its tokens would follow those of the new attempt, and the
	// caller would see two generations spliced. BeginAttempt takes the same
	// lock, so no late token can pass between the check and the append.
	if attempt != b.attempt {
		return ErrStaleAttempt
	}
	next := b.nextIndex()
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
	b.notifyReaders()
	return nil
}

// trim drops the older half of the tokens when the buffer is full, so that the
// cost of moving the rest is amortized over many tokens.
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

// Finish closes the stream as complete. If the tokens differ from the engine's
// record, it fails the stream with ErrGap or ErrDigestMismatch and returns that
// error.
func (b *Buffer) Finish(attempt uint32, end End) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return ErrStaleAttempt
	}
	if b.closed() {
		return nil
	}
	defer b.notifyReaders()
	if end.Tokens != b.nextIndex() {
		b.err = errors.Wrapf(ErrGap, "engine sent %d tokens, %d arrived", end.Tokens, b.nextIndex())
		return b.err
	}
	if end.Digest != b.digest.Sum() {
		b.err = ErrDigestMismatch
		return b.err
	}
	b.end = &end
	return nil
}

// Fail closes the stream with err. It has no effect on a closed stream.
func (b *Buffer) Fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed() {
		return
	}
	b.err = err
	b.notifyReaders()
}

// Closed reports whether the stream is complete or has failed.
func (b *Buffer) Closed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed()
}

// Failed reports whether the stream has failed.
func (b *Buffer) Failed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err != nil
}

func (b *Buffer) closed() bool {
	return b.end != nil || b.err != nil
}

// NextIndex returns the index of the next token to arrive.
func (b *Buffer) NextIndex() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nextIndex()
}

func (b *Buffer) nextIndex() uint64 {
	return b.base + uint64(len(b.ends))
}

// ReaderCount returns the number of open readers.
func (b *Buffer) ReaderCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.readers)
}

// Prefix returns a copy of all tokens from index 0, or ErrTrimmed.
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

// Preload fills an empty buffer with the tokens of an earlier attempt.
func (b *Buffer) Preload(prefix [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range prefix {
		b.data = append(b.data, text...)
		b.ends = append(b.ends, uint32(len(b.data)))
		b.digest.Add(text)
	}
}

func (b *Buffer) notifyReaders() {
	for _, r := range b.readers {
		select {
		case r.ready <- struct{}{}:
		default:
		}
	}
}

// Batch is a sequence of consecutive tokens. Its memory is reused by the next
// Read.
type Batch struct {
	FirstIndex uint64
	Attempt    uint32
	Texts      [][]byte
	data       []byte
}

// Reader reads a buffer from an index on. It must not be used by two goroutines
// at the same time.
type Reader struct {
	buf   *Buffer
	next  uint64
	ready chan struct{}
}

// NewReader returns a reader whose first token has index next. The caller closes
// it.
func (b *Buffer) NewReader(next uint64) *Reader {
	r := &Reader{buf: b, next: next, ready: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers = append(b.readers, r)
	return r
}

// Close removes the reader from its buffer.
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

// Read blocks until there are tokens to read and copies up to maxTokens of them
// into batch. After the last token it returns the End of a complete stream, or
// the error of a failed one, without tokens.
func (r *Reader) Read(ctx context.Context, batch *Batch, maxTokens int) (*End, error) {
	for {
		done, end, err := r.tryRead(batch, maxTokens)
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

// tryRead is Read without blocking; it returns false if there is nothing to read
// yet.
func (r *Reader) tryRead(batch *Batch, maxTokens int) (bool, *End, error) {
	b := r.buf
	b.mu.Lock()
	defer b.mu.Unlock()
	batch.Texts = batch.Texts[:0]
	if r.next < b.base {
		return true, nil, ErrTrimmed
	}
	if r.next > b.nextIndex() {
		if b.closed() {
			return true, nil, ErrBeyondEnd
		}
		return false, nil, nil
	}
	if r.next < b.nextIndex() {
		r.copyTokens(batch, maxTokens)
		return true, nil, nil
	}
	if b.err != nil {
		return true, nil, b.err
	}
	return b.end != nil, b.end, nil
}

// copyTokens copies up to maxTokens tokens to batch and advances the reader. The
// caller holds the buffer's mutex.
func (r *Reader) copyTokens(batch *Batch, maxTokens int) {
	b := r.buf
	first := int(r.next - b.base)
	last := min(len(b.ends), first+maxTokens)
	start := uint32(0)
	if first > 0 {
		start = b.ends[first-1]
	}
	batch.FirstIndex = r.next
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
