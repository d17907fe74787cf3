package mesh

import "strings"

// Work is what a target does for one call: its operation's settings, with the
// service's own where the operation has none.
type Work struct {
	Operation   string
	Time        ServiceTime
	AnswerBytes int
	Calls       []Call
}

// Work returns what a call of the given method and path asks of the service.
// The longest matching operation decides; false means that none matches.
func (s Service) Work(method, path string) (Work, bool) {
	work := Work{Time: s.Time, AnswerBytes: s.AnswerBytes, Calls: s.Calls}
	if len(s.Operations) == 0 {
		return work, true
	}
	found, ok := s.operation(method, path)
	if !ok {
		return Work{}, false
	}
	work.Operation = found.Name
	if found.Time != nil {
		work.Time = *found.Time
	}
	if found.AnswerBytes != nil {
		work.AnswerBytes = *found.AnswerBytes
	}
	if found.Calls != nil {
		work.Calls = *found.Calls
	}
	return work, true
}

func (s Service) operation(method, path string) (Operation, bool) {
	var best Operation
	found := false
	for _, candidate := range s.Operations {
		if candidate.Method != method || !underPrefix(path, candidate.Path) {
			continue
		}
		if !found || len(candidate.Path) > len(best.Path) {
			best, found = candidate, true
		}
	}
	return best, found
}

func underPrefix(path, prefix string) bool {
	trimmed := strings.TrimSuffix(prefix, "/")
	return path == trimmed || strings.HasPrefix(path, trimmed+"/")
}
