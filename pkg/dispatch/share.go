package dispatch

import (
	"math"
	"slices"
	"time"
)

// buckets is the resolution of the window of a workspace.
const (
	buckets    = 16
	bucketTime = window / buckets
	// levelInterval is how often the level is computed anew.
	levelInterval = 50 * time.Millisecond
	// agreeGain is the part of the difference to the other edge hosts that the
	// capacity moves in one levelInterval, so that all cut at the same level.
	agreeGain = 0.15
	// targetPressure is the median backlog of the engines that the capacity is
	// steered to: short requests with objectives of 300 ms stay on time.
	targetPressure = 80 * time.Millisecond
	// lowPressure is the median backlog up to which a workspace may go beyond
	// the level by lowBoost, until the capacity has grown. Without a bound the
	// largest workspace would take all that such moments offer.
	lowPressure = 30 * time.Millisecond
	lowBoost    = 1.5
	// Steps of the capacity in one levelInterval: it halves within a second
	// of high pressure and doubles in a second without any.
	stepUp   = 0.035
	stepDown = 0.035
	// mostSteps bounds what one call makes up for: after a pause the pressure of
	// now says nothing of the time before.
	mostSteps = 10
	// leastCapacity and mostCapacity bound the capacity against what is
	// stated, and against what was served in the window.
	leastCapacity = 0.2
	mostCapacity  = 2
	// outputWeight is the weight of a generated token against one that is read.
	outputWeight = 2
)

// cost returns the service tokens of a request.
func cost(r *Request) float64 { return float64(r.PromptTokens + outputWeight*r.OutputTokens) }

// sliding is a sum over the window.
type sliding struct {
	sums [buckets]float64
	last int64 // number of the newest bucket
	sum  float64
}

func (s *sliding) move(bucket int64) {
	if bucket-s.last >= buckets {
		*s = sliding{last: bucket}
		return
	}
	for s.last < bucket {
		s.last++
		i := s.last % buckets
		s.sum -= s.sums[i]
		s.sums[i] = 0
	}
}

func (s *sliding) add(bucket int64, v float64) {
	s.move(bucket)
	s.sums[bucket%buckets] += v
	s.sum += v
}

// use is what one workspace asked for and got, over the window and in total.
type use struct {
	asked, served           sliding
	totalAsked, totalServed float64 // at this edge host
	told                    useMark // as it was sent last
	nearAsked, nearServed   float64 // in total at the other edge hosts of the data centre
	nearTold                useMark // as the last summary told it
	turns                   int     // refusals told to come back, for spreading them
	turnsAt                 time.Time
}

// useMark is the use of a workspace as other edge hosts know it.
type useMark struct{ asked, served float64 }

// shares holds the use of all workspaces and their max-min fair level.
type shares struct {
	start   time.Time
	uses    map[string]*use
	rate    float64 // service tokens per second of all engines, 0 if not stated
	working float64 // part of the engines that work
	// capacity is the service tokens per second that the engines turn out to
	// bear: the stated rate leaves out kept prompt parts, failures and slow
	// engines.
	capacity float64
	others   float64       // mean capacity of the other edge hosts, 0 if unknown
	pressure time.Duration // median backlog of the engines
	level    float64       // tokens in the window that a workspace may get, 0 if nobody is limited
	levelAt  time.Time
}

func newShares(now time.Time) shares {
	return shares{start: now, uses: map[string]*use{}, working: 1}
}

func (s *shares) bucket(now time.Time) int64 { return int64(now.Sub(s.start)/bucketTime) + buckets }

func (s *shares) of(workspace string) *use {
	u := s.uses[workspace]
	if u == nil {
		u = &use{}
		s.uses[workspace] = u
	}
	return u
}

func (s *shares) ask(now time.Time, workspace string, tokens float64) {
	u := s.of(workspace)
	u.asked.add(s.bucket(now), tokens)
	u.totalAsked += tokens
}

func (s *shares) serve(now time.Time, workspace string, tokens float64) {
	u := s.of(workspace)
	u.served.add(s.bucket(now), tokens)
	u.totalServed += tokens
}

// within reports whether a request of that cost keeps the workspace inside its
// share.
func (s *shares) within(now time.Time, workspace string, tokens float64) bool {
	level := s.refresh(now)
	if level == 0 {
		return true
	}
	u := s.of(workspace)
	u.served.move(s.bucket(now))
	// Half of the request may stick out, so that one with large requests gets
	// its share on average.
	if s.pressure <= lowPressure {
		level *= lowBoost
	}
	return u.served.sum+tokens/2 <= level
}

// refresh returns the level of the window.
func (s *shares) refresh(now time.Time) float64 {
	if now.Sub(s.levelAt) < levelInterval {
		return s.level
	}
	steps := min(now.Sub(s.levelAt).Seconds()/levelInterval.Seconds(), mostSteps)
	s.levelAt = now
	bucket := s.bucket(now)
	asked := make([]float64, 0, len(s.uses))
	served := 0.0
	for name, u := range s.uses {
		u.asked.move(bucket)
		u.served.move(bucket)
		if u.asked.sum == 0 && u.served.sum == 0 && u.totalAsked == 0 && u.nearAsked == 0 {
			delete(s.uses, name) // known from other hosts only, and idle
			continue
		}
		asked = append(asked, u.asked.sum)
		served += u.served.sum
	}
	s.steer(served/window.Seconds(), steps)
	s.level = waterLevel(asked, s.capacity*window.Seconds())
	return s.level
}

// steer moves the capacity so that the median backlog of the engines stays at
// its target. steps is the time since the last call in levelIntervals: hosts
// that decide rarely must not hold up the others, who agree with them.
func (s *shares) steer(served, steps float64) {
	if s.rate <= 0 {
		s.capacity = 0 // no rate is stated: nobody is limited
		return
	}
	wrong := float64(targetPressure-s.pressure) / float64(targetPressure)
	s.capacity *= math.Pow(1+min(max(wrong*stepUp, -stepDown), stepUp), steps)
	if s.others > 0 {
		s.capacity += (1 - math.Pow(1-agreeGain, steps)) * (s.others - s.capacity)
	}
	stated := s.rate * s.working
	s.capacity = max(s.capacity, leastCapacity*stated)
	s.capacity = min(s.capacity, mostCapacity*max(stated, served))
}

// waterLevel returns the level at which the demands, each cut at it, add up to
// the capacity, 0 if all of them fit.
func waterLevel(demands []float64, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	slices.Sort(demands)
	left := capacity
	for i, d := range demands {
		if even := left / float64(len(demands)-i); d > even {
			return even
		}
		left -= d
	}
	return 0
}
