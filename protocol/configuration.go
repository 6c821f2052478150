package protocol

// Configuration (entry to entry) announces the version of the configuration that
// the sender uses, or answers a ConfigurationRequest. In an answer, Document is the
// part of the document of Size bytes that begins at Offset. A Size of 0 means that
// Document is the whole document or, in an announcement, empty.
type Configuration struct {
	Version  int64  `json:"version"`
	Document []byte `json:"document,omitempty"`
	Offset   int    `json:"offset,omitempty"`
	Size     int    `json:"size,omitempty"`
}

// ConfigurationRequest (entry to entry) asks for a part of the receiver's
// configuration: up to Limit bytes from Offset of the document of Version. If the
// receiver has another version, it sends the first part of that one. A Limit of 0,
// which earlier releases send, asks for the whole document.
type ConfigurationRequest struct {
	Version int64 `json:"version,omitempty"`
	Offset  int   `json:"offset,omitempty"`
	Limit   int   `json:"limit,omitempty"`
}
