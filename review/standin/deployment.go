package main

// startDeployment starts the machines of the sheet of rennbach-fass, and the given numbers
// of replicas of the model pool and of the plain service.
func (w *world) startDeployment(configuration string, pool, app int) error {
	w.addMachines("core", 5)
	w.addMachines("storage", 4)
	w.addMachines("front", 7)
	if err := w.provider.addReplicas("pool", pool, 64); err != nil {
		return err
	}
	if err := w.provider.addReplicas("app", app, 6); err != nil {
		return err
	}
	return w.startAll(configuration)
}

// counts returns how often the process of a machine has ended, how often of that it was
// killed for its memory, and its largest memory in MiB.
func (m *machine) counts() (ends, overMemory, peak int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends, m.overMemory, m.peakMB
}
