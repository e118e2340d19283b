package fairshare

// Parameters of the cost estimates.
const (
	// DefaultCost is the estimated cost without the prompt before any request
	// of a class has settled, in service units: about a short chat reply.
	DefaultCost = 1000

	meanCostSmoothing    = 0.2 // weight of the newest cost in the moving average
	costPerHintSmoothing = 0.4 // weight of the newest ratio in the moving average

	// maxHintDeviation is the greatest factor between a calibrated hint and the
	// mean cost of its class. Without it one absurd hint could charge a workspace
	// for minutes of service.
	maxHintDeviation = 8.0
	// minCostPerHint and maxCostPerHint bound the calibration of hints.
	minCostPerHint, maxCostPerHint = 1.0 / 64, 64.0
)

type estimateKey struct{ workspace, class string }

// costStats holds moving averages of settled requests.
type costStats struct {
	meanCost       float64 // service units, without the prompt
	costPerHint    float64 // cost divided by the hint of the caller
	hasMeanCost    bool
	hasCostPerHint bool
}

// CostEstimator predicts the cost of requests from the costs of settled
// requests of the same workspace and class. It is not safe for concurrent use.
type CostEstimator struct {
	byWorkspaceAndClass map[estimateKey]*costStats
	byClass             map[string]*costStats
}

// NewCostEstimator returns an estimator without any settled request.
func NewCostEstimator() *CostEstimator {
	return &CostEstimator{byWorkspaceAndClass: map[estimateKey]*costStats{}, byClass: map[string]*costStats{}}
}

// Estimate returns the expected cost of a request in service units. hintUnits is
// the caller's own estimate, 0 if there is none, and promptUnits the size of the
// prompt, both in service units. A workspace without settled requests of the
// class uses the averages of the class over all workspaces.
func (e *CostEstimator) Estimate(workspace, class string, hintUnits uint64, promptUnits uint32) uint64 {
	c := e.byWorkspaceAndClass[estimateKey{workspace, class}]
	if c == nil || !c.hasMeanCost {
		c = e.byClass[class]
	}
	learned := c != nil && c.hasMeanCost
	costWithoutPrompt := float64(DefaultCost)
	if learned {
		costWithoutPrompt = c.meanCost
	}
	if hintUnits == 0 {
		return promptCost(promptUnits) + uint64(max(costWithoutPrompt, 1))
	}
	estimate := float64(hintUnits)
	if learned && c.hasCostPerHint {
		estimate *= c.costPerHint
	}
	meanTotalCost := costWithoutPrompt + float64(promptUnits)
	estimate = min(max(estimate, meanTotalCost/maxHintDeviation), meanTotalCost*maxHintDeviation)
	return max(uint64(estimate), promptCost(promptUnits), 1)
}

// promptCost returns the cost of a prompt, which is its size in service units.
func promptCost(promptUnits uint32) uint64 { return uint64(promptUnits) }

// Observe records the cost of a request that ran to its end, in service units.
func (e *CostEstimator) Observe(workspace, class string, hintUnits uint64, promptUnits uint32, cost uint64) {
	key := estimateKey{workspace, class}
	c := e.byWorkspaceAndClass[key]
	if c == nil {
		c = &costStats{}
		e.byWorkspaceAndClass[key] = c
	}
	c.observe(hintUnits, promptUnits, cost)
	classStats := e.byClass[class]
	if classStats == nil {
		classStats = &costStats{}
		e.byClass[class] = classStats
	}
	// The error of hints differs between callers, so the averages of the class
	// leave out the hint.
	classStats.observe(0, promptUnits, cost)
}

// observe adds a settled request to the averages. hintUnits is 0 if the request
// had no hint.
func (c *costStats) observe(hintUnits uint64, promptUnits uint32, cost uint64) {
	costWithoutPrompt := max(float64(cost)-float64(promptUnits), 1)
	if !c.hasMeanCost {
		c.meanCost, c.hasMeanCost = costWithoutPrompt, true
	} else {
		c.meanCost += meanCostSmoothing * (costWithoutPrompt - c.meanCost)
	}
	if hintUnits == 0 {
		return
	}
	costPerHint := min(max(float64(cost)/float64(hintUnits), minCostPerHint), maxCostPerHint)
	if !c.hasCostPerHint {
		c.costPerHint, c.hasCostPerHint = costPerHint, true
	} else {
		c.costPerHint += costPerHintSmoothing * (costPerHint - c.costPerHint)
	}
}
