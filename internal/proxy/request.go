package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// Limits that apply if the configuration sets none, in bytes.
const (
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxHeaderBytes = 64 << 10
)

// Sizes in bytes that headerSize adds to a request line and to each header field for their fixed
// parts, such as separators and line ends.
const (
	requestLineOverhead = 24
	headerFieldOverhead = 4
)

// requestTarget returns the request target as the client sent it, without the scheme and host of
// an absolute URI, and the path of the target. path is empty if there is none, as for CONNECT.
func requestTarget(request *http.Request) (target, path string) {
	target = request.RequestURI
	if !strings.HasPrefix(target, "/") {
		if request.Method == http.MethodConnect || request.URL == nil || request.URL.Path == "" {
			return target, ""
		}
		target = request.URL.RequestURI()
	}
	path, _, _ = strings.Cut(target, "?")
	return target, path
}

// headerSize estimates the size of a request's head in bytes.
func headerSize(request *http.Request, target string) int64 {
	size := len(request.Method) + len(target) + len(request.Host) + requestLineOverhead
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerFieldOverhead
		}
	}
	return int64(size)
}

func limitOr(limit, defaultLimit int64) int64 {
	if limit > 0 {
		return limit
	}
	return defaultLimit
}

// readRequest reads the complete request. It returns a rejection if the request exceeds a limit,
// lacks a request ID or has an incomplete body.
func readRequest(
	writer http.ResponseWriter, request *http.Request, limits routing.Limits, target string,
) (*upstream.Request, *rejection) {
	ids := request.Header[upstream.HeaderRequestID]
	if len(ids) != 1 || ids[0] == "" {
		return nil, &rejection{status: http.StatusBadRequest, reason: "needs one " + upstream.HeaderRequestID}
	}
	if headerSize(request, target) > limitOr(limits.MaxHeaderBytes, defaultMaxHeaderBytes) {
		return nil, &rejection{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too large"}
	}
	body, rejected := readBody(writer, request, limitOr(limits.MaxBodyBytes, defaultMaxBodyBytes))
	if rejected != nil {
		return nil, rejected
	}
	return &upstream.Request{
		Method:  request.Method,
		Target:  target,
		Host:    request.Host,
		Header:  upstream.EndToEndHeaders(request.Header),
		Body:    body,
		HasBody: isBodyFramed(request) || expectsBody(request.Method),
		ID:      ids[0],
	}, nil
}

// isBodyFramed reports whether Content-Length or Transfer-Encoding announces a body.
func isBodyFramed(request *http.Request) bool {
	return request.ContentLength != 0 || len(request.TransferEncoding) > 0
}

// expectsBody reports whether requests with the method have a body, which may be empty.
func expectsBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, *rejection) {
	if !isBodyFramed(request) {
		return nil, nil
	}
	if request.ContentLength > limit {
		return nil, closingRejection(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, closingRejection(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	return nil, closingRejection(http.StatusBadRequest, "the body broke off")
}
