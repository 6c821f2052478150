package messenger

import (
	"encoding/json"
	"fmt"
	"math"
	"sync"

	"mustardlever.dev/mustardlever/protocol"
)

const (
	// largeBatch is the size from which a batch is checked before it is decoded. Its lists
	// could take a hundred times its size. A smaller one is decoded in one pass.
	largeBatch = 64 << 10
	// maxMessages is the number of messages in a batch above which it is malformed.
	maxMessages = 1 << 13
	// maxElements is the number of elements, of lists and objects together, that a part of a
	// message may have. Senders divide what could have more.
	maxElements = 50_000
	// maxStartElements is the same for the start records of an agent, which have up to four
	// each, and what is beside them.
	maxStartElements = 4*maxStartRecords + 10
	maxStartRecords  = 200_000 // see starter.Settings
)

// decodingLarge is held while a large batch is decoded.
var decodingLarge sync.Mutex

// decodeBatch decodes a batch. It fails with KindFrame if one of its lists is too long.
func decodeBatch(params []byte) (batch, error) {
	var b batch
	if len(params) < largeBatch {
		err := json.Unmarshal(params, &b)
		return b, err
	}
	decodingLarge.Lock()
	defer decodingLarge.Unlock()
	var large struct {
		batch
		Messages messageList `json:"messages"`
	}
	err := json.Unmarshal(params, &large)
	b = large.batch
	b.Messages = large.Messages
	return b, err
}

// messageList is a list of messages that is checked before it is decoded.
type messageList []protocol.Message

// UnmarshalJSON decodes an array or null.
func (l *messageList) UnmarshalJSON(text []byte) error {
	if err := checkMessages(text); err != nil {
		return err
	}
	return json.Unmarshal(text, (*[]protocol.Message)(l))
}

func frameError(detail string) error { return &Error{Op: "batch", Kind: KindFrame, Detail: detail} }

// Depths of nesting in a list of messages.
const (
	depthOfMessages = 1
	depthOfParts    = 2
)

// checkMessages checks the numbers of messages and of the elements of their parts in valid
// JSON, without decoding it.
func checkMessages(text []byte) error {
	messages, elements, depth := 1, 0, 0
	part := ""
	namesPart := false // the next string at depthOfParts is the name of a part
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			end := endOfString(text, i)
			if depth == depthOfParts && namesPart {
				part, elements, namesPart = string(text[i+1:end]), 0, false
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

// maxElementsOf returns the number of elements that a part of a message may have.
func maxElementsOf(part string) int {
	switch part {
	case "start", "outcome", "forward", "reply", "configuration":
		return math.MaxInt // contents of callers, backend servers or the platform, which are not decoded
	case "marks":
		return maxStartElements
	}
	return maxElements
}

// endOfString returns the index of the quotation mark that ends the string that begins at i.
func endOfString(text []byte, i int) int {
	for i++; i < len(text)-1 && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}
