// Package standin holds small stand-ins of the systems around mustardlever, for
// tests and for the laptop: a backend server that counts what it was asked, and
// the platform's table service and object store with switchable faults.
package standin
