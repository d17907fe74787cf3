package mesh

import "strings"

// Work is the work of a target for one call: the settings of the operation, with the
// service's values as defaults.
type Work struct {
	Operation   string
	Time        ServiceTime
	AnswerBytes int
	Calls       []Call
}

// Work returns the work for a call with the given method and path. The operation with
// the longest matching path applies; without a match the result is false.
func (s Service) Work(method, path string) (Work, bool) {
	work := Work{Time: s.Time, AnswerBytes: s.AnswerBytes, Calls: s.Calls}
	if len(s.Operations) == 0 {
		return work, true
	}
	operation, ok := s.operation(method, path)
	if !ok {
		return Work{}, false
	}
	work.Operation = operation.Name
	if operation.Time != nil {
		work.Time = *operation.Time
	}
	if operation.AnswerBytes != nil {
		work.AnswerBytes = *operation.AnswerBytes
	}
	if operation.Calls != nil {
		work.Calls = *operation.Calls
	}
	return work, true
}

func (s Service) operation(method, path string) (Operation, bool) {
	var best Operation
	found := false
	for _, candidate := range s.Operations {
		if candidate.Method != method || !hasPathPrefix(path, candidate.Path) {
			continue
		}
		if !found || len(candidate.Path) > len(best.Path) {
			best, found = candidate, true
		}
	}
	return best, found
}

func hasPathPrefix(path, prefix string) bool {
	trimmed := strings.TrimSuffix(prefix, "/")
	return path == trimmed || strings.HasPrefix(path, trimmed+"/")
}
