package admin

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// MaxAuthorLength is the maximum length of an author's name, in bytes.
const MaxAuthorLength = 100

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// authorPattern matches printable ASCII.
var authorPattern = regexp.MustCompile(`^[ -~]{0,100}$`)

// NewChangeID returns a random, unique change id.
func NewChangeID() string { return rand.Text() }

// writeRequest holds the path, headers and query parameters of a write.
type writeRequest struct {
	id       resource.ID
	expected store.Revision
	change   resource.Change
}

// readChange reads the id and the author of a change from the headers.
func (s *Server) readChange(r *http.Request) (resource.Change, *Problem) {
	change := resource.Change{
		ID:     r.Header.Get(ChangeIDHeader),
		Author: r.Header.Get(AuthorHeader),
		At:     s.options.Now().UTC(),
	}
	if change.ID == "" {
		change.ID = NewChangeID()
	}
	if !changeIDPattern.MatchString(change.ID) {
		return change, newProblem(kindInvalid, "%s: allowed are 1 to 64 of A-Z, a-z, 0-9, '.', '_' and '-'", ChangeIDHeader)
	}
	if !authorPattern.MatchString(change.Author) {
		return change, newProblem(kindInvalid, "%s: allowed are up to %d printable ASCII characters", AuthorHeader, MaxAuthorLength)
	}
	return change, nil
}

// readWrite reads the path, headers and query parameters of a PUT or DELETE.
func (s *Server) readWrite(r *http.Request, kind resource.Kind) (writeRequest, *Problem) {
	request := writeRequest{id: resource.ID{Kind: kind, Name: r.PathValue("name")}}
	if err := request.id.Validate(); err != nil {
		return request, newProblem(kindInvalid, "%v", err)
	}
	var problem *Problem
	if request.change, problem = s.readChange(r); problem != nil {
		return request, problem
	}
	request.expected, problem = readExpected(r)
	return request, problem
}

// readExpected reads the expected revision from the query or from If-Match.
func readExpected(r *http.Request) (store.Revision, *Problem) {
	parameter := r.URL.Query().Get(ExpectedRevisionParameter)
	ifMatch := r.Header.Get("If-Match")
	if parameter == "" && ifMatch == "" {
		return 0, newProblem(kindRevisionRequired, "a write needs the revision that it replaces: %s=REVISION or If-Match: \"REVISION\"; zero creates", ExpectedRevisionParameter)
	}
	unquoted := strings.Trim(ifMatch, `"`)
	if parameter != "" && ifMatch != "" && parameter != unquoted {
		return 0, newProblem(kindInvalid, "%s=%s and If-Match: %s differ", ExpectedRevisionParameter, parameter, ifMatch)
	}
	if parameter == "" {
		parameter = unquoted
	}
	revision, err := parseRevision(parameter)
	if err != nil {
		return 0, newProblem(kindInvalid, "expected revision: %v", err)
	}
	return revision, nil
}

func parseRevision(text string) (store.Revision, error) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, fmt.Errorf("%q is not a revision: allowed are whole numbers from zero", text)
	}
	return store.Revision(number), nil
}

// readBody reads a body of at most MaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newProblem(kindTooLarge, "the body has more than %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return nil, newProblem(kindInvalid, "read body: %v", err)
	}
	return body, nil
}
