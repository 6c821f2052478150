package server

import "github.com/sirupsen/logrus"

// reportPanic returns a function that logs the panic of a peer's request.
func reportPanic(log *logrus.Entry) func(peer string, value any, stack []byte) {
	return func(peer string, value any, stack []byte) {
		log.WithFields(logrus.Fields{"peer": peer, "panic": value, "stack": string(stack)}).
			Error("Handling a message panicked; the session with its sender is closed.")
	}
}
