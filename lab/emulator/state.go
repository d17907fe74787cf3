package emulator

// TargetState is the current state of a target.
type TargetState struct {
	TargetInfo
	Busy               int64  `json:"busy"`
	Waiting            int64  `json:"waiting"`
	OpenConnections    int    `json:"open_connections"`
	RefusedConnections int64  `json:"refused_connections"`
	Draining           bool   `json:"draining"`
	Faults             Faults `json:"faults"`
}

// State is the current state of the emulator.
type State struct {
	Targets        []TargetState `json:"targets"`
	Started        int64         `json:"started"`
	DroppedRecords int64         `json:"dropped_records"`
}

// State returns the current state of the emulator.
func (e *Emulator) State() State {
	var state State
	for i, info := range e.Targets() {
		t := e.targets[i]
		open, refused := t.listener.counts()
		state.Targets = append(state.Targets, TargetState{
			TargetInfo:         info,
			Busy:               t.busy.Load(),
			Waiting:            t.waiting.Load(),
			OpenConnections:    open,
			RefusedConnections: refused,
			Draining:           t.isDraining(),
			Faults:             t.currentFaults(),
		})
	}
	state.Started, state.DroppedRecords = e.recorder.counts()
	return state
}
