package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"greengagespoke/internal/freeport"
)

const (
	// waitTimeout bounds how long a script waits for a condition.
	waitTimeout = 20 * time.Second
	// scriptsTimeout bounds all scripts together. Programs that still run when it
	// expires are stopped.
	scriptsTimeout = time.Minute
	// waitInterval is the pause between two checks of a condition.
	waitInterval = 10 * time.Millisecond
	// addressesPerScript is the number of free addresses that a script gets, as
	// $ADDR1, $ADDR2 and so on, and their parts as $IP1, $PORT1 and so on.
	addressesPerScript = 8
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"greengagespoke": main})
}

// TestScripts tests the program end to end. In addition to the commands of
// testscript, scripts can use:
//
//	fails CODE PROGRAM ARG... runs a program that must end with the exit code
//	expand FILE...            replaces $NAME by environment variables in files
//	make-cert CERT KEY        writes a certificate for the addresses
//	replace FROM TO OLD NEW   copies a file with the first OLD replaced by NEW
//	terminate TEXT            sends SIGTERM to the background program with TEXT
//	                          in its arguments
//	wait-body URL REGEXP      waits until a GET of the URL answers with a match
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:      "testdata/script",
		Setup:    setup,
		Deadline: time.Now().Add(scriptsTimeout),
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fails":     fails,
			"make-cert": makeCert,
			"expand":    expandFiles,
			"replace":   replaceText,
			"terminate": terminate,
			"wait-body": waitBody,
		},
	})
}

// setup assigns free loopback addresses to a script.
func setup(env *testscript.Env) error {
	for i := range addressesPerScript {
		address, err := freeport.Address()
		if err != nil {
			return err
		}
		ip, port, err := net.SplitHostPort(address)
		if err != nil {
			return err
		}
		env.Setenv(fmt.Sprintf("ADDR%d", i+1), address)
		env.Setenv(fmt.Sprintf("IP%d", i+1), ip)
		env.Setenv(fmt.Sprintf("PORT%d", i+1), port)
	}
	// By default a process under the race detector sleeps for one second at exit.
	env.Setenv("GORACE", "atexit_sleep_ms=0")
	return nil
}

func fails(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: fails CODE PROGRAM ARG...")
	}
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

func expandFiles(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: expand FILE...")
	}
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

func replaceText(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: replace FROM TO OLD NEW")
	}
	unescape := strings.NewReplacer(`\n`, "\n", `\t`, "\t")
	before := ts.ReadFile(args[0])
	after := strings.Replace(before, unescape.Replace(args[2]), unescape.Replace(args[3]), 1)
	if before == after {
		ts.Fatalf("%s does not contain %q", args[0], args[2])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(after), 0o600))
}

func terminate(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: terminate TEXT")
	}
	found := 0
	for _, cmd := range ts.BackgroundCmds() {
		if strings.Contains(strings.Join(cmd.Args, " "), args[0]) {
			ts.Check(cmd.Process.Signal(syscall.SIGTERM))
			found++
		}
	}
	if found != 1 {
		ts.Fatalf("%d background programs have %q in their arguments, want 1", found, args[0])
	}
}

func waitBody(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: wait-body URL REGEXP")
	}
	want, err := regexp.Compile(args[1])
	ts.Check(err)
	last := "no answer"
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(waitInterval) {
		body, err := get(args[0])
		if err != nil {
			last = err.Error()
			continue
		}
		if want.MatchString(body) {
			return
		}
		last = body
	}
	ts.Fatalf("%s does not answer with %q: %s", args[0], args[1], last)
}

// get returns the body of a response. It returns an error if the status is not 200.
func get(url string) (string, error) {
	client := http.Client{Timeout: waitTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return string(body), err
}
