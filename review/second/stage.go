package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// The figures of the stage service install-portal on the sheet.
const (
	stageQueue = 2
	stageBatch = 8
	stageCall  = 150 * time.Millisecond
	stageItem  = 16 * time.Millisecond
)

// stageService returns the declaration of a stage service with the figures of the sheet.
func stageService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 360, "segments": map[string]any{
		"slots": 1, "queue": stageQueue, "batch": stageBatch, "callMs": stageCall.Milliseconds(), "itemMs": stageItem.Milliseconds(),
		"headroomMb": 36, "handleS": 4, "linkMbps": 10000,
	}}
}

// runStage answers a call that runs pieces of a stage: one call runs at a time, and stageQueue calls may wait.
func (s *server) runStage(c net.Conn, r *http.Request, head string) bool {
	var call struct {
		Items []struct {
			ID string `json:"id"`
		} `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return false
	}
	s.mu.Lock()
	if s.calls > stageQueue {
		s.mu.Unlock()
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+head+"Azurelead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.calls++
	s.mu.Unlock()
	s.turn.Lock()
	time.Sleep(stageCall + time.Duration(len(call.Items))*stageItem)
	s.turn.Unlock()
	s.mu.Lock()
	s.calls--
	s.mu.Unlock()
	var items, ids []string
	for _, item := range call.Items {
		items = append(items, fmt.Sprintf(`{"handle":"%s/%x"}`, s.address, rand.Uint64()))
		ids = append(ids, item.ID)
	}
	s.f.note("%s runs a call of %d pieces for %s", s.id, len(items), strings.Join(ids, " "))
	body := `{"items":[` + strings.Join(items, ",") + `]}`
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}
