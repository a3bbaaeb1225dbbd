package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"laburnumwind/explainer"
	"laburnumwind/messenger"
	"laburnumwind/platform"
	"laburnumwind/registrar"
)

// jobQuestion holds the flags for the explanation of a job on the users' platform.
type jobQuestion struct {
	Job        string `help:"File with the document of a job, - for standard input: show where the job would go now, without sending it."`
	Controller string `help:"With --job: address of the peer listener of a controller, host:port."`
	Host       string `help:"With --job: host of the request."`
	Path       string `default:"/" help:"With --job: path of the queue."`
	JobID      string `name:"id" help:"With --job: ID of the job; without it a random one."`
	KeyFile    string `type:"existingfile" help:"With --job: file with the key of the team."`
	KeyEnv     string `help:"With --job: environment variable with the key of the team."`
	JSON       bool   `name:"json" help:"With --job: print JSON."`
}

// explainJob prints what would become of the job.
func (q jobQuestion) explainJob() error {
	if q.Controller == "" || q.Host == "" {
		return fmt.Errorf("--job needs --controller and --host: %w", errUsage)
	}
	key, err := q.key()
	if err != nil {
		return err
	}
	job, err := q.readJob()
	if err != nil {
		return err
	}
	call := messenger.JobCall{Host: q.Host, Path: q.Path, Job: job}
	if key != "" {
		call.KeyDigest = registrar.KeyDigest(key)
	}
	e, err := explainer.NewExplainer(explainer.Config{Controller: q.Controller}).Explain(context.Background(), call)
	if err != nil {
		return fmt.Errorf("explain job: %w", err)
	}
	if !q.JSON {
		return explainer.WriteText(os.Stdout, e)
	}
	text, err := json.MarshalIndent(e, "", "  ")
	if err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	fmt.Println(string(text))
	return nil
}

// key returns the key from the file or the environment variable, or "" if neither is named. Only its digest is sent.
func (q jobQuestion) key() (string, error) {
	if q.KeyFile != "" && q.KeyEnv != "" {
		return "", fmt.Errorf("--key-file and --key-env exclude each other: %w", errUsage)
	}
	if q.KeyFile != "" {
		data, err := os.ReadFile(q.KeyFile)
		if err != nil {
			return "", fmt.Errorf("read key: %w", err)
		}
		key := strings.TrimSpace(string(data))
		if key == "" {
			return "", fmt.Errorf("%s holds no key: %w", q.KeyFile, errUsage)
		}
		return key, nil
	}
	if q.KeyEnv == "" {
		return "", nil
	}
	key := os.Getenv(q.KeyEnv)
	if key == "" {
		return "", fmt.Errorf("environment variable %s is empty or not set: %w", q.KeyEnv, errUsage)
	}
	return key, nil
}

// readJob reads the document of the job.
func (q jobQuestion) readJob() (registrar.Job, error) {
	id := q.JobID
	if id == "" {
		random := make([]byte, 8)
		_, _ = rand.Read(random) // never fails
		id = hex.EncodeToString(random)
	}
	if q.Job == "-" {
		return platform.ReadJob(os.Stdin, id)
	}
	f, err := os.Open(q.Job)
	if err != nil {
		return registrar.Job{}, fmt.Errorf("open job document: %w", err)
	}
	defer func() { _ = f.Close() }()
	return platform.ReadJob(f, id)
}
