// Package ticketer encodes and decodes the tickets that entries issue to callers.
//
// A ticket is a string of the form "mt1." + payload + "." + MAC. The payload is a
// JSON object in base64url. The MAC, also in base64url, is the HMAC-SHA-256 of
// the encoded payload under a key that all entries share, truncated to 16 bytes.
// An entry stores nothing about a ticket until a job is submitted with it.
package ticketer
