package messenger

import (
	"encoding/json"
	"fmt"
	"math"
	"sync"
)

const (
	// checkedBatch is the size from which a batch is checked before it is decoded, since its
	// lists could take a hundred times its size. Most batches are smaller.
	checkedBatch = 1 << 10
	// largeBatch is the size from which batches are decoded one at a time.
	largeBatch = 64 << 10
	// maxMessages is the number of messages above which a batch is malformed, twice the
	// default of Settings.MaxBatch.
	maxMessages = 1 << 10
	// maxElements is the number of elements, of lists and objects together, that a part of a
	// message may have. Senders divide what could have more.
	maxElements = 20_000
	// maxStartElements is the same for the start records of an agent, which have up to four
	// each, and what is beside them.
	maxStartElements = 4*maxStartRecords + 10
	maxStartRecords  = 200_000 // see starter.Settings
)

// decodingLarge is held while a large batch is decoded. It is not the lock of package
// limiter: large bodies of callers would hold up the links.
var decodingLarge sync.Mutex

// decodeBatch decodes a batch. It fails with KindFrame if one of its lists is too long.
func decodeBatch(params []byte) (batch, error) {
	if len(params) >= checkedBatch {
		if err := checkBatch(params); err != nil {
			return batch{}, err
		}
	}
	if len(params) >= largeBatch {
		decodingLarge.Lock()
		defer decodingLarge.Unlock()
	}
	var b batch
	err := json.Unmarshal(params, &b)
	return b, err
}

// Depths of nesting in a batch.
const (
	depthOfMessages = 2
	depthOfParts    = 3
)

// checkBatch checks the number of messages in a batch, and that of the elements of their
// parts, without decoding it. It accepts malformed JSON.
func checkBatch(params []byte) error {
	messages, elements, depth := 1, 0, 0
	var part []byte
	namesPart := false // the next string at depthOfParts is the name of a part
	for i := 0; i < len(params); i++ {
		switch params[i] {
		case '"':
			end := endOfString(params, i)
			if depth == depthOfParts && namesPart {
				part, elements, namesPart = params[i+1:end], 0, false
			}
			i = end
		case '{', '[':
			depth++
			namesPart = namesPart || depth == depthOfParts
			elements++
		case '}', ']':
			depth--
		case ',':
			elements++
			switch depth {
			case depthOfMessages:
				messages++
			case depthOfParts:
				namesPart = true
			}
		}
		switch {
		case messages > maxMessages:
			return frameError(fmt.Sprintf("more than %d messages", maxMessages))
		case depth > depthOfParts && elements > maxElementsOf(part):
			return frameError(fmt.Sprintf("%q has more than %d elements", part, maxElementsOf(part)))
		}
	}
	return nil
}

func frameError(detail string) error { return &Error{Op: "batch", Kind: KindFrame, Detail: detail} }

// maxElementsOf returns the number of elements that a part of a message may have.
func maxElementsOf(part []byte) int {
	switch string(part) {
	case "start", "outcome", "forward", "reply", "configuration":
		return math.MaxInt // contents of callers, backend servers or the platform, which are not decoded
	case "marks":
		return maxStartElements
	}
	return maxElements
}

// endOfString returns the index of the quotation mark that ends the string that begins at i,
// or the length of the text if there is none.
func endOfString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return min(i, len(text))
}
