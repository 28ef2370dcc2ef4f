package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"greengagespoke/domain"
)

// Arrival is one request of a caller.
type Arrival struct {
	At     domain.Duration `yaml:"at"`
	Caller domain.CallerID `yaml:"caller"`
	Model  string          `yaml:"model"`
	// Zone is the availability zone that the caller is near.
	Zone         domain.Zone `yaml:"zone"`
	PromptTokens int         `yaml:"prompt_tokens"`
	// Document names the shared first part of the prompt and DocumentTokens is
	// its length.
	Document       string `yaml:"document"`
	DocumentTokens int    `yaml:"document_tokens"`
	// OutputTokens is the true length of the answer, which only the engine and
	// the oracle know.
	OutputTokens int `yaml:"output_tokens"`
	MaxTokens    int `yaml:"max_tokens"`
	// LeavesAfter is when the caller goes away; zero means that it stays.
	LeavesAfter domain.Duration `yaml:"leaves_after"`
	// Poison makes the request crash the decode engine that runs it.
	Poison bool `yaml:"poison"`
	// Resends is how often the caller sends again after a failure or a refusal;
	// a stream that breaks in the middle is always sent again.
	Resends     int             `yaml:"resends"`
	ResendAfter domain.Duration `yaml:"resend_after"`

	request domain.RequestID
}

// Generator makes arrivals of one kind from a seed.
type Generator struct {
	Model string `yaml:"model"`
	// Rate is the mean number of arrivals per second of a Poisson process.
	Rate float64 `yaml:"rate"`
	// From and Until bound the arrivals; zero Until means the trace's duration.
	From  domain.Duration `yaml:"from"`
	Until domain.Duration `yaml:"until"`
	// Callers share the arrivals in proportion to their shares.
	Callers []CallerShare `yaml:"callers"`
	Zones   []domain.Zone `yaml:"zones"`
	Prompt  Lengths       `yaml:"prompt"`
	Output  Lengths       `yaml:"output"`
	// MaxTokens is the bound that callers ask for.
	MaxTokens int       `yaml:"max_tokens"`
	Documents Documents `yaml:"documents"`
	// LeavePercent is how many in 100 callers leave, at an evenly spread time in
	// LeaveWithin.
	LeavePercent int             `yaml:"leave_percent"`
	LeaveWithin  domain.Duration `yaml:"leave_within"`
	Poison       bool            `yaml:"poison"`
	// Count bounds the number of arrivals; zero means no bound.
	Count       int             `yaml:"count"`
	Resends     int             `yaml:"resends"`
	ResendAfter domain.Duration `yaml:"resend_after"`
}

// CallerShare is a caller's share of a generator's arrivals.
type CallerShare struct {
	Name  domain.CallerID `yaml:"name"`
	Share float64         `yaml:"share"`
	// muted callers take part in the draws, but send nothing.
	muted bool
}

// Lengths is a log-normal distribution of token counts.
type Lengths struct {
	Median int     `yaml:"median"`
	Sigma  float64 `yaml:"sigma"`
	Min    int     `yaml:"min"`
	Max    int     `yaml:"max"`
}

// Documents are shared first parts of prompts. Document number k (from 0) of a
// caller is drawn with a probability in proportion to 1/(k+1).
type Documents struct {
	PerCaller int     `yaml:"per_caller"`
	Tokens    Lengths `yaml:"tokens"`
}

func (l Lengths) draw(rng *rand.Rand) int {
	n := int(math.Round(float64(l.Median) * math.Exp(l.Sigma*rng.NormFloat64())))
	if l.Max > 0 {
		n = min(n, l.Max)
	}
	return max(n, l.Min, 1)
}

// Arrivals returns all arrivals of a trace in order of time. The same trace
// gives the same arrivals.
func (t *Trace) Arrivals() []Arrival {
	all := append([]Arrival(nil), t.Recorded...)
	for i, g := range t.Generators {
		rng := rand.New(rand.NewPCG(t.Seed, uint64(i)+1))
		all = append(all, t.generate(g, rng)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	for i := range all {
		all[i].request = domain.RequestID(fmt.Sprintf("r%06d", i))
	}
	return all
}

func (t *Trace) generate(g Generator, rng *rand.Rand) []Arrival {
	until := g.Until
	if until == 0 || until > t.Duration {
		until = t.Duration
	}
	documents := newLibrary(g, rng)
	var out []Arrival
	at := g.From.D()
	for g.Count == 0 || len(out) < g.Count {
		at += time.Duration(rng.ExpFloat64() / g.Rate * float64(time.Second))
		if at >= until.D() {
			break
		}
		if a := g.draw(at, documents, rng); !g.mutes(a.Caller) {
			out = append(out, a)
		}
	}
	return out
}

func (g Generator) draw(at time.Duration, documents *library, rng *rand.Rand) Arrival {
	caller := g.caller(rng)
	a := Arrival{
		At:           domain.Duration(at),
		Caller:       caller,
		Model:        g.Model,
		Zone:         g.Zones[rng.IntN(len(g.Zones))],
		PromptTokens: g.Prompt.draw(rng),
		OutputTokens: g.Output.draw(rng),
		MaxTokens:    g.MaxTokens,
		Poison:       g.Poison,
		Resends:      g.Resends,
		ResendAfter:  g.ResendAfter,
	}
	a.Document, a.DocumentTokens = documents.draw(caller, rng)
	a.PromptTokens += a.DocumentTokens
	if rng.IntN(percent) < g.LeavePercent {
		a.LeavesAfter = domain.Duration(rng.Int64N(int64(g.LeaveWithin)) + 1)
	}
	return a
}

func (g Generator) mutes(caller domain.CallerID) bool {
	for _, c := range g.Callers {
		if c.Name == caller {
			return c.muted
		}
	}
	return false
}

// percent is the whole of a percentage.
const percent = 100

func (g Generator) caller(rng *rand.Rand) domain.CallerID {
	sum := 0.0
	for _, c := range g.Callers {
		sum += c.Share
	}
	x := rng.Float64() * sum
	for _, c := range g.Callers {
		if x < c.Share {
			return c.Name
		}
		x -= c.Share
	}
	return g.Callers[len(g.Callers)-1].Name
}

// library holds the documents of a generator's callers.
type library struct {
	tokens map[domain.CallerID][]int
	model  string
}

func newLibrary(g Generator, rng *rand.Rand) *library {
	l := &library{tokens: make(map[domain.CallerID][]int), model: g.Model}
	for _, c := range g.Callers {
		for range g.Documents.PerCaller {
			l.tokens[c.Name] = append(l.tokens[c.Name], g.Documents.Tokens.draw(rng))
		}
	}
	return l
}

func (l *library) draw(caller domain.CallerID, rng *rand.Rand) (name string, tokens int) {
	lengths := l.tokens[caller]
	if len(lengths) == 0 {
		return "", 0
	}
	sum := 0.0
	for k := range lengths {
		sum += 1 / float64(k+1)
	}
	x := rng.Float64() * sum
	k := 0
	for ; k < len(lengths)-1 && x >= 1/float64(k+1); k++ {
		x -= 1 / float64(k+1)
	}
	return fmt.Sprintf("%s/%s/%d", l.model, caller, k), lengths[k]
}
