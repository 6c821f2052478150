// Package ticketer writes and reads the tickets that callers hold.
//
// A ticket is a string of the form "mt1." + payload + "." + code: the payload
// is the base64url form of a JSON object, the code an HMAC-SHA-256 of the
// payload cut to 16 bytes, under a key that all entries share. Entries keep
// nothing about a ticket until a job is submitted with it.
package ticketer
