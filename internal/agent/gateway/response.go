// This file streams responses to callers and detects truncated ones. It rejects responses whose
// truncation could not be detected.

package gateway

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/burlmill/burlmill/fault"
)

// checkResponseHeader rejects a response that has neither a length nor chunked encoding, because
// the gateway could not detect its truncation. It also rejects a switch of protocols, since the
// gateway never requests one. Errors are of kind fault.OutcomeUnknown.
func checkResponseHeader(request *http.Request, response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return fault.New(fault.OutcomeUnknown, "back end changed the protocol")
	}
	if request.Method == http.MethodHead || response.ContentLength >= 0 {
		return nil
	}
	if slices.Contains(response.TransferEncoding, "chunked") {
		return nil
	}
	return fault.New(fault.OutcomeUnknown, "answer without a length: whether it is whole cannot be told")
}

// forwardResponse streams the response to the caller. After an error, the caller's stream must be
// reset. Errors are of kind fault.OutcomeUnknown if the response is truncated, fault.Canceled if
// writing to the caller fails.
func forwardResponse(writer http.ResponseWriter, response *http.Response) error {
	setResponseHeader(writer.Header(), response)
	writer.WriteHeader(response.StatusCode)
	// Flushes the header, so that the caller does not wait for the first part of the content.
	caller := flushingWriter{writer, http.NewResponseController(writer)}
	if err := caller.controller.Flush(); err != nil {
		return fault.Wrap(fault.Canceled, err, "send response header")
	}
	if err := copyContent(caller, response.Body); err != nil {
		return err
	}
	setTrailer(writer.Header(), response.Trailer)
	return nil
}

func setResponseHeader(header http.Header, response *http.Response) {
	maps.Copy(header, endToEndHeader(response.Header))
	header.Set(HeaderOutcome, string(OutcomeComplete))
	if _, present := header["Content-Type"]; !present {
		header["Content-Type"] = nil // prevents content sniffing by net/http
	}
	if _, present := header["Date"]; !present {
		header["Date"] = nil // prevents a date that net/http would add
	}
}

// setTrailer copies the trailer fields of the response.
func setTrailer(header, trailer http.Header) {
	for name, values := range trailer {
		header[http.TrailerPrefix+name] = values
	}
}

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// flushingWriter flushes after each write.
type flushingWriter struct {
	writer     io.Writer
	controller *http.ResponseController
}

// Write implements io.Writer.
func (f flushingWriter) Write(content []byte) (int, error) {
	length, err := f.writer.Write(content)
	if err != nil {
		return length, err
	}
	return length, f.controller.Flush()
}

// copyContent copies the content until its end. Errors are of kind fault.Canceled if a write fails,
// fault.OutcomeUnknown if a read fails.
func copyContent(writer io.Writer, content io.Reader) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		length, readErr := content.Read(*buffer)
		if length > 0 {
			if _, err := writer.Write((*buffer)[:length]); err != nil {
				return fault.Wrap(fault.Canceled, err, "send response content")
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return fault.Wrap(fault.OutcomeUnknown, readErr, "response truncated")
		}
	}
}
