package server

// sharesDemand reports whether the entry shares its demand with the others: if the
// settings say so and it knows more entries than a process connects to, itself included.
// With fewer, each entry is connected to all agents.
func (e *Entry) sharesDemand() bool {
	if !e.Settings.ShareDemand || e.Settings.Messenger.MaxEntries <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.entryAddresses) > e.Settings.Messenger.MaxEntries
}
