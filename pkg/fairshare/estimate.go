package fairshare

// Parameters of the cost estimates.
const (
	// DefaultEstimate is used before any request of a class has settled:
	// about the cost of a short chat reply in service units.
	DefaultEstimate = 1000

	meanGain  = 0.2 // weight of the newest cost in the mean
	ratioGain = 0.4 // weight of the newest cost/hint ratio

	// A calibrated hint may differ from the mean cost of its class by this
	// factor, so one absurd hint cannot charge a workspace for minutes.
	hintSpread = 8.0
	// minRatio and maxRatio bound the correction of hints.
	minRatio, maxRatio = 1.0 / 64, 64.0
)

type estimateKey struct{ workspace, class string }

type costs struct {
	mean   float64 // service units without the prompt
	ratio  float64 // cost per hinted unit
	seen   bool
	hinted bool
}

// Estimates learns costs per workspace and class from settled requests. It is
// not safe for concurrent use.
type Estimates struct {
	exact   map[estimateKey]*costs
	byClass map[string]*costs
}

// NewEstimates returns Estimates that know nothing.
func NewEstimates() *Estimates {
	return &Estimates{exact: map[estimateKey]*costs{}, byClass: map[string]*costs{}}
}

// Estimate returns the expected cost of a request in service units.
func (e *Estimates) Estimate(workspace, class string, hint uint64, prompt uint32) uint64 {
	c := e.exact[estimateKey{workspace, class}]
	if c == nil || !c.seen {
		c = e.byClass[class]
	}
	known := c != nil && c.seen
	rest := float64(DefaultEstimate)
	if known {
		rest = c.mean
	}
	if hint == 0 {
		return prompt64(prompt) + uint64(max(rest, 1))
	}
	guess := float64(hint)
	if known && c.hinted {
		guess *= c.ratio
	}
	whole := rest + float64(prompt)
	guess = min(max(guess, whole/hintSpread), whole*hintSpread)
	return max(uint64(guess), prompt64(prompt), 1)
}

func prompt64(prompt uint32) uint64 { return uint64(prompt) }

// Learn takes the cost of a request that ran to its end.
func (e *Estimates) Learn(workspace, class string, hint uint64, prompt uint32, cost uint64) {
	key := estimateKey{workspace, class}
	c := e.exact[key]
	if c == nil {
		c = &costs{}
		e.exact[key] = c
	}
	c.learn(hint, prompt, cost)
	k := e.byClass[class]
	if k == nil {
		k = &costs{}
		e.byClass[class] = k
	}
	// Hints belong to a caller: the ratio of one workspace says nothing
	// about another, so the class learns only the mean.
	k.learn(0, prompt, cost)
}

func (c *costs) learn(hint uint64, prompt uint32, cost uint64) {
	rest := max(float64(cost)-float64(prompt), 1)
	if !c.seen {
		c.mean, c.seen = rest, true
	} else {
		c.mean += meanGain * (rest - c.mean)
	}
	if hint == 0 {
		return
	}
	ratio := min(max(float64(cost)/float64(hint), minRatio), maxRatio)
	if !c.hinted {
		c.ratio, c.hinted = ratio, true
	} else {
		c.ratio += ratioGain * (ratio - c.ratio)
	}
}
