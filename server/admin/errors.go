package admin

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/control"
)

// failWith answers with the typed form of an error.
func failWith(w http.ResponseWriter, err error) {
	var conflict *config.ConflictError
	var refused *config.RefusalError
	switch {
	case errors.As(err, &conflict):
		fail(w, &admin.Error{Kind: admin.Conflict, Message: conflict.Message(), Remedy: conflict.Remedy()})
	case errors.As(err, &refused):
		fail(w, &admin.Error{Kind: errorKind(refused.Kind), Message: refused.Message, Remedy: refused.Remedy})
	case errors.Is(err, control.ErrStoreUnavailable):
		fail(w, &admin.Error{
			Kind: admin.StoreUnavailable, Message: err.Error(),
			Remedy: "ask for the operation, and send it again with the same operation ID if it is unknown",
		})
	default:
		fail(w, &admin.Error{
			Kind: admin.Internal, Message: err.Error(),
			Remedy: "ask for the operation, and send it again with the same operation ID if it is unknown",
		})
	}
}

func errorKind(kind config.RefusalKind) admin.ErrorKind {
	switch kind {
	case config.BadChange:
		return admin.BadRequest
	case config.NotFound:
		return admin.NotFound
	default:
		return admin.Refused
	}
}

func fail(w http.ResponseWriter, err *admin.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.Status())
	json.NewEncoder(w).Encode(err)
}
