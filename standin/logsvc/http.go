package logsvc

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
)

// Limits of an HTTP request.
const (
	maxRecordBytes = 8 << 20
	maxWait        = time.Minute
)

// Appended is the answer to an append.
type Appended struct {
	Offset int64 `json:"offset"`
}

// Page is the answer to a read.
type Page struct {
	Records  []port.Record `json:"records"`
	Newest   int64         `json:"newest"`
	Earliest int64         `json:"earliest"`
}

// Handler serves the log. A read with max=0 returns only the newest and the
// earliest offset.
func (l *Log) Handler() http.Handler {
	r := bunrouter.New()
	r.POST("/streams/:stream/records", l.serveAppend)
	r.GET("/streams/:stream/records", l.serveRead)
	r.POST("/_standin/fault", bunrouter.HTTPHandlerFunc(standin.FaultHandler(l.Apply)))
	r.GET("/_standin/record", func(w http.ResponseWriter, _ bunrouter.Request) error {
		standin.JSON(w, http.StatusOK, l.Counters())
		return nil
	})
	return r
}

func (l *Log) serveAppend(w http.ResponseWriter, req bunrouter.Request) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxRecordBytes))
	if err != nil {
		standin.Error(w, http.StatusRequestEntityTooLarge, err.Error())
		return nil
	}
	offset, err := l.Append(req.Context(), req.Param("stream"), data)
	if errors.Is(err, errAnswerLost) {
		l.Abort(req.Request)
	}
	if err != nil {
		standin.Error(w, http.StatusServiceUnavailable, err.Error())
		return nil
	}
	standin.JSON(w, http.StatusOK, Appended{Offset: offset})
	return nil
}

func (l *Log) serveRead(w http.ResponseWriter, req bunrouter.Request) error {
	name := req.Param("stream")
	q := req.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("max"))
	ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	wait := min(time.Duration(ms)*time.Millisecond, maxWait)
	if limit <= 0 {
		return l.serveBounds(w, req)
	}
	records, newest, err := l.Read(req.Context(), name, from, limit, wait)
	page := Page{Records: records, Newest: newest, Earliest: l.earliest(name)}
	switch {
	case errors.Is(err, port.ErrExpired):
		standin.JSON(w, http.StatusGone, page)
	case err != nil:
		standin.Error(w, http.StatusServiceUnavailable, err.Error())
	default:
		standin.JSON(w, http.StatusOK, page)
	}
	return nil
}

// serveBounds answers with the newest and the earliest offset of a stream.
func (l *Log) serveBounds(w http.ResponseWriter, req bunrouter.Request) error {
	earliest, err := l.Earliest(req.Context(), req.Param("stream"))
	if err != nil {
		standin.Error(w, http.StatusServiceUnavailable, err.Error())
		return nil
	}
	standin.JSON(w, http.StatusOK, Page{Newest: l.newest(req.Param("stream")), Earliest: earliest})
	return nil
}

func (l *Log) earliest(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).first
}

func (l *Log) newest(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).newest()
}
