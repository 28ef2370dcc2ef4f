// Package service is a stand-in for a plain service. It counts executions by
// idempotency key, so that tests can tell how often a call ran, and it can lose
// requests and answers on purpose.
package service

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// KeyHeader is the request header that carries the idempotency key.
const KeyHeader = "Idempotency-Key"

// percent is the whole of a percentage.
const percent = 100

// Config describes one service instance.
type Config struct {
	Upstream domain.Upstream
	// Ledger is shared by the instances of one service; nil makes a new one.
	Ledger *Ledger
	// Latency is the time from the arrival of a call to its answer. The call
	// executes in the middle of it.
	Latency time.Duration
	// ChecksKey makes the service return the stored answer for a known key
	// instead of executing the call again.
	ChecksKey bool
	// LostAnswerPercent is how many in 100 answers are lost after the execution.
	LostAnswerPercent int
	// LostRequestPercent is how many in 100 calls are lost before the execution.
	LostRequestPercent int
	// Seed seeds the scripted losses.
	Seed uint64
}

// Service is one in-memory service instance. It implements ports.Service.
type Service struct {
	cfg    Config
	ledger *Ledger

	mu          sync.Mutex
	rng         *rand.Rand
	down        bool
	loseAnswers int
	calls       int
}

var _ ports.Service = (*Service)(nil)

// Answer is the JSON body of the service's answers.
type Answer struct {
	Upstream domain.UpstreamID `json:"upstream"`
	Key      string            `json:"key,omitempty"`
	// Execution counts the executions of the call's key, from 1.
	Execution int    `json:"execution"`
	Method    string `json:"method"`
	Path      string `json:"path"`
}

// New returns a running service.
func New(cfg Config) *Service {
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	return &Service{
		cfg:    cfg,
		ledger: cfg.Ledger,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 2)),
	}
}

// fate is what happens to one call.
type fate struct {
	loseRequest bool
	loseAnswer  bool
}

// Call implements ports.Service.
func (s *Service) Call(ctx context.Context, req ports.ServiceRequest) (ports.ServiceResponse, error) {
	f, err := s.begin()
	if err != nil {
		return ports.ServiceResponse{}, err
	}
	if !pause.For(ctx, s.cfg.Latency/2) || f.loseRequest {
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: true, Lost: true, Message: "connection reset before the answer"}
	}
	answer := s.ledger.execute(req, s.cfg)
	if !pause.For(ctx, s.cfg.Latency/2) || f.loseAnswer || s.isDown() {
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: true, Lost: true, Message: "connection reset before the answer"}
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return ports.ServiceResponse{}, &ports.ServiceError{Sent: true, Message: err.Error()}
	}
	header := http.Header{"Content-Type": []string{"application/json"}}
	return ports.ServiceResponse{Status: http.StatusOK, Header: header, Body: body}, nil
}

// Listening implements ports.Service.
func (s *Service) Listening(context.Context) (bool, error) { return !s.isDown(), nil }

func (s *Service) begin() (fate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return fate{}, &ports.ServiceError{Message: "connection refused"}
	}
	s.calls++
	f := fate{
		loseRequest: s.rng.IntN(percent) < s.cfg.LostRequestPercent,
		loseAnswer:  s.rng.IntN(percent) < s.cfg.LostAnswerPercent,
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		f.loseAnswer = true
	}
	return f, nil
}

// LoseAnswers makes the service lose the next n answers after the execution.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// Kill takes the service down until Restart. Calls in progress get no answer.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

// Restart brings a killed service back.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
}

func (s *Service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Calls returns the number of calls that reached the instance.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Ledger returns the counts of executions.
func (s *Service) Ledger() *Ledger {
	return s.ledger
}
