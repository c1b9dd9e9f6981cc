package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Role is the permission level of an operator.
type Role uint8

// Roles. Writing includes reading.
const (
	RoleRead Role = iota + 1
	RoleWrite
)

// Operator identifies the author of a request.
type Operator struct {
	Name string // as shown in the audit trail
	Role Role
}

// Authenticator maps tokens to operators.
type Authenticator interface {
	// Authenticate returns the operator of a token, or false if it is unknown.
	Authenticate(token string) (Operator, bool)
}

// Token is the digest of one operator's token.
type Token struct {
	Operator
	SHA256 [sha256.Size]byte
}

// Tokens is an Authenticator for a list of tokens.
type Tokens []Token

// Authenticate implements Authenticator. Its duration does not depend on which
// token matches.
func (l Tokens) Authenticate(token string) (Operator, bool) {
	digest := sha256.Sum256([]byte(token))
	var found Operator
	ok := false
	for _, t := range l {
		if subtle.ConstantTimeCompare(digest[:], t.SHA256[:]) == 1 {
			found, ok = t.Operator, true
		}
	}
	return found, ok
}

// AllowAll is an Authenticator for a loopback port without tokens. It attributes
// every request to the operator of that name, with RoleWrite.
type AllowAll string

// Authenticate implements Authenticator.
func (e AllowAll) Authenticate(string) (Operator, bool) {
	return Operator{Name: string(e), Role: RoleWrite}, true
}

type operatorKey struct{}

func operatorOf(ctx context.Context) Operator {
	op, _ := ctx.Value(operatorKey{}).(Operator)
	return op
}

// tokenOf returns the bearer token, or the Basic password that a browser sends.
func tokenOf(r *http.Request) string {
	if _, password, ok := r.BasicAuth(); ok {
		return password
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// require is middleware that admits only operators with at least the given role.
func (h *Handler) require(role Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			op, ok := h.opts.Auth.Authenticate(tokenOf(r))
			if !ok {
				w.Header().Add("WWW-Authenticate", `Bearer realm="nutmegweir"`)
				w.Header().Add("WWW-Authenticate", `Basic realm="nutmegweir"`)
				writeProblem(w, problemUnauthorized())
				return
			}
			if op.Role < role {
				h.auditRejection(op, r, "the role is read")
				writeProblem(w, problemForbidden())
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, op)))
		})
	}
}

// requireMediaType is middleware that rejects other media types. It guards
// against cross-site request forgery with types that HTML forms can send.
func requireMediaType(mediaType string) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
			if !strings.EqualFold(strings.TrimSpace(got), mediaType) {
				writeProblem(w, problemMediaType(mediaType))
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
