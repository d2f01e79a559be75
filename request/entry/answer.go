package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/limit"
)

// writeError writes an error answer with err's result code.
func writeError(w http.ResponseWriter, err error) {
	answer.Write(w, answer.Error(err), nil)
}

func writeJSON(w http.ResponseWriter, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	writeAnswer(w, nil, http.StatusOK, "application/json", data)
	return nil
}

// writeAnswer writes an answer whose body is a part of the account, which may be nil.
func writeAnswer(w http.ResponseWriter, account *quota.Account, status int, contentType string, body []byte) {
	h := w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(answer.HeaderCode, strconv.Itoa(int(code.OK)))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_ = limit.WriteAll(w, account, body, defaultWriteTimeout) // a disconnected caller can't be answered
}
