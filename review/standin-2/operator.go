package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator calls the control hosts.
type operator struct {
	cluster *cluster
	client  http.Client
	next    int
}

// call sends an order to one control host after another until one gives a clear answer.
func (o *operator) call(method, path string, body []byte, limit time.Duration) (int, []byte, error) {
	until := time.Now().Add(limit)
	cores := o.cluster.of("core")
	for {
		o.next++
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		request, err := http.NewRequestWithContext(ctx, method, "http://"+cores[o.next%len(cores)].address(controlPort)+path, bytes.NewReader(body))
		if err != nil {
			cancel()
			return 0, nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := o.client.Do(request)
		var text []byte
		status := 0
		if err == nil {
			text, err = io.ReadAll(response.Body)
			response.Body.Close()
			status = response.StatusCode
		}
		cancel()
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, text, nil
		}
		if time.Now().After(until) {
			return status, text, fmt.Errorf("%s %s: no clear answer: %d %v", method, path, status, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// configure sends a configuration until it is acknowledged.
func (o *operator) configure(document any) error {
	text, err := json.Marshal(document)
	if err != nil {
		return err
	}
	status, answer, err := o.call("PUT", "/configuration", text, 20*time.Second)
	record("operator: PUT /configuration -> %d %s", status, answer)
	if err == nil && status != 200 {
		err = fmt.Errorf("configuration refused: %d %s", status, answer)
	}
	return err
}
