package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	getHelp = `Prints the body of a good answer. With --wait it asks again until the answer is
good, and holds the text of --has, or the time is over.`
	faultHelp = `Sends a fault command, as {"kind":"silent"}, to a stand-in at host:port.`
)

const (
	getTimeout = 2 * time.Second
	retryPause = 50 * time.Millisecond
)

type getCommand struct {
	Wait time.Duration `long:"wait" description:"How long to ask again"`
	Has  []string      `long:"has" description:"Text that the answer must hold"`
	Args struct {
		URL string `positional-arg-name:"URL" required:"true"`
	} `positional-args:"yes"`
}

// Execute prints the answer.
func (c *getCommand) Execute([]string) error {
	end := time.Now().Add(c.Wait)
	for {
		body, err := fetch(http.MethodGet, c.Args.URL, "", c.Has)
		if err == nil {
			_, err = os.Stdout.Write(body)
			return err
		}
		if time.Now().After(end) {
			return err
		}
		time.Sleep(retryPause)
	}
}

type faultCommand struct {
	Args struct {
		Addr  string `positional-arg-name:"ADDR" required:"true"`
		Fault string `positional-arg-name:"JSON" required:"true"`
	} `positional-args:"yes"`
}

// Execute sends the command.
func (c *faultCommand) Execute([]string) error {
	_, err := fetch(http.MethodPost, "http://"+c.Args.Addr+"/_standin/fault", c.Args.Fault, nil)
	if strings.Contains(c.Args.Fault, `"crash"`) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
		return nil // a crashing stand-in ends before it can answer
	}
	return err
}

// fetch sends one request and returns the body of an answer with status 200.
func fetch(method, url, body string, has []string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), getTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s: %.200s", url, resp.Status, data)
	}
	for _, text := range has {
		if !strings.Contains(string(data), text) {
			return nil, fmt.Errorf("%s: the answer lacks %s", url, text)
		}
	}
	return data, nil
}
