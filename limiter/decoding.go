package limiter

import "sync"

// largeBody is the size from which bodies are decoded one at a time: each is parsed
// in a copy, and takes up to 15 ms of a core. Bodies of jobs have about 1 KiB.
const largeBody = 16 << 10

// decodingLarge is held while a large body is decoded.
var decodingLarge sync.Mutex

// BeginDecoding waits until a body of the given size in bytes may be decoded. Large ones
// are decoded one at a time in a process; the next one may be once end was called.
func BeginDecoding(size int) (end func()) {
	if size < largeBody {
		return func() {}
	}
	decodingLarge.Lock()
	return decodingLarge.Unlock
}
