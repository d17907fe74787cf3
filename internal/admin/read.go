package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"

	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

func (s *Server) handleList(kind resource.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		list := ObjectList{Kind: kind, Items: []Object{}}
		for _, version := range s.liveObjects(kind) {
			object, err := newObject(version)
			if err != nil {
				s.writeProblem(w, newProblem(kindInternal, "%v", err).withStep("encode object"))
				return
			}
			list.Items = append(list.Items, object)
		}
		writeJSON(w, list)
	}
}

// liveObjects returns the objects of a kind without deleted ones, ordered by name.
func (s *Server) liveObjects(kind resource.Kind) []resource.Versioned {
	versions := slices.Clone(s.options.Replica.List(kind))
	versions = slices.DeleteFunc(versions, func(v resource.Versioned) bool { return v.Deleted })
	slices.SortFunc(versions, func(a, b resource.Versioned) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
	return versions
}

func newObject(version resource.Versioned) (Object, error) {
	specification, err := EncodeSpecification(version.Envelope)
	object := Object{
		Kind:     version.ID.Kind,
		Name:     version.ID.Name,
		Revision: version.Revision,
		Deleted:  version.Deleted,
		Spec:     specification,
	}
	if len(version.History) > 0 {
		object.LastChange = &version.History[0]
	}
	return object, err
}

func (s *Server) handleGet(kind resource.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := resource.ID{Kind: kind, Name: r.PathValue("name")}
		version, ok := s.options.Replica.Get(id)
		if !ok || version.Deleted {
			s.writeProblem(w, notFound(id))
			return
		}
		object, err := newObject(version)
		if err != nil {
			s.writeProblem(w, newProblem(kindInternal, "%v", err).withStep("encode object"))
			return
		}
		setRevisionHeaders(w, version.Revision)
		writeJSON(w, object)
	}
}

func notFound(id resource.ID) *Problem {
	return newProblem(kindNotFound, "this node knows no %s named %q", id.Kind, id.Name)
}

func setRevisionHeaders(w http.ResponseWriter, revision store.Revision) {
	text := strconv.FormatInt(int64(revision), 10)
	w.Header().Set("ETag", `"`+text+`"`)
	w.Header().Set(RevisionHeader, text)
}

func (s *Server) handleHistory(kind resource.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := resource.ID{Kind: kind, Name: r.PathValue("name")}
		version, ok := s.options.Replica.Get(id)
		if !ok {
			s.writeProblem(w, notFound(id))
			return
		}
		setRevisionHeaders(w, version.Revision)
		writeJSON(w, newHistory(version))
	}
}

// newHistory assigns each change its revision, which is the one that the next
// change replaced.
func newHistory(version resource.Versioned) History {
	history := History{Kind: version.ID.Kind, Name: version.ID.Name, Changes: []HistoryEntry{}}
	revision := version.Revision
	for _, change := range version.History {
		history.Changes = append(history.Changes, HistoryEntry{Revision: revision, Change: change})
		revision = change.Replaces
	}
	return history
}

// handleChange returns the outcome of a change.
func (s *Server) handleChange(w http.ResponseWriter, r *http.Request) {
	id := resource.ID{Kind: resource.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if err := id.Validate(); err != nil {
		s.writeProblem(w, newProblem(kindInvalid, "%v", err))
		return
	}
	expected, problem := readExpected(r)
	if problem != nil {
		s.writeProblem(w, problem)
		return
	}
	s.resolveChange(w, r, id, expected)
}

func (s *Server) resolveChange(w http.ResponseWriter, r *http.Request, id resource.ID, expected store.Revision) {
	ctx, cancel := s.writeContext(r)
	defer cancel()
	changeID := r.PathValue("change_id")
	resolution, revision, err := s.options.Writer.Resolve(ctx, id, changeID, expected)
	if err != nil {
		problem := newProblem(kindStoreUnavailable, "%v", err).withStep("resolve change").withRetryAfter()
		problem.Outcome, problem.ChangeID = OutcomeUnknown, changeID
		s.writeProblem(w, problem)
		return
	}
	writeJSON(w, ChangeResponse{
		Outcome:  outcomeOf(resolution),
		Kind:     id.Kind,
		Name:     id.Name,
		ChangeID: changeID,
		Revision: revision,
	})
}

func outcomeOf(resolution configuration.Resolution) Outcome {
	switch resolution {
	case configuration.Accepted:
		return OutcomeAccepted
	case configuration.Refused:
		return OutcomeRefused
	}
	return OutcomeUnknown
}
