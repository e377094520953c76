// SPDX-License-Identifier: MIT

package balance

import "time"

// Policy holds the parameters of choices. It is set by code, not by operators: an experiment or an
// ablation changes one field. docs/POLICY.md describes the runs behind the values.
type Policy struct {
	// NearChoices and FarChoices are the numbers of backend servers that an object's requests may
	// go to: the first in the order by region, and the first in an order that is the same for all
	// regions. Further ones would have to warm up for an object that they seldom get.
	NearChoices, FarChoices int
	// UnseenCost is the additional cost of a backend server that has not seen the object, relative
	// to its typical processing time. Unseen objects take three times as long.
	UnseenCost float64
	// RankCost is the additional cost of each further rank. It keeps an object where it is while
	// others are not clearly better.
	RankCost time.Duration
	// SeenTTL is how long a backend server is assumed to remember an object.
	SeenTTL time.Duration

	// LostThreshold is the number of consecutive lost responses after which a backend server is
	// suspended. One that can't be reached is suspended at once.
	LostThreshold int
	// RefusedThreshold is the number of consecutive refusals by a backend server that reports free
	// slots after which it is the last resort. A single one may be caused by the request.
	RefusedThreshold int
	// MinSuspension and MaxSuspension bound how long a backend server that failed gets no
	// requests. A restart takes longer than the first and is noticed soon after by the second.
	MinSuspension, MaxSuspension time.Duration
	// ReportHalfLife is the time in which a load report loses half of its weight, about ten times
	// the typical processing time.
	ReportHalfLife time.Duration
	// SlowdownDecay is the time in which a reported slowdown decays to 1/e: the speed of a host
	// changes many times a second.
	SlowdownDecay time.Duration
	// DecreaseGain and IncreaseGain are the weights of a new response in the typical processing time
	// if it was faster or slower than typical. They differ since the duration of a response may
	// include queueing, or work on an object that the backend server had not seen.
	DecreaseGain, IncreaseGain float64
	// ServiceGain is the weight of a backend server's typical processing time in that of its
	// service, for each response.
	ServiceGain float64
	// MaxWorkShare is the largest share of a route's objective that processing is assumed to take
	// in the wait limit: operators set objectives that typical processing meets.
	MaxWorkShare float64
	// InitialWork is the processing time that is assumed before any response, between those of seen
	// and unseen objects of existing services.
	InitialWork time.Duration

	// ColdAfterDrain is how long a backend server counts as cold after its drain has ended, unless
	// it declares more itself.
	ColdAfterDrain time.Duration
	// ColdSlack extends the time for which a backend server declares itself cold, to make up for
	// the time that the declaration takes to arrive.
	ColdSlack time.Duration
	// WarmingRateShare is the share of the warming rate that all instances together use. Twice the
	// rate is too much, and some instances are live that are not known yet.
	WarmingRateShare float64
	// FewInstancesRatio is the number of instances, relative to the rate, up to which a turn may
	// be taken at any time until the next: even if all instances take one in the same second they
	// stay near the rate.
	FewInstancesRatio float64
	// TurnWindow is how long a turn may be taken if there are more instances.
	TurnWindow time.Duration

	// LoadSmoothing is the time constant by which a backend server's load is smoothed.
	LoadSmoothing time.Duration
	// ShareInterval is the time between two steps of the shares of a service.
	ShareInterval time.Duration
	// ShareStep bounds one step, relative to the share. It keeps shifts between regions far below
	// the limits that operators set.
	ShareStep float64
	// MinShare is the smallest share.
	MinShare float64
	// A backend server sheds objects if its load, relative to its slots, is above BusyLoad and
	// above BusyRatio times the mean of its service.
	BusyLoad, BusyRatio float64
	// RecoverRatio is the fraction of that load below which it regains objects.
	RecoverRatio float64

	// UrgentWaitFactor extends the objective of urgent requests, as a factor, where less urgent
	// routes use the same service: of two requests that would be slightly late there, the urgent
	// one is accepted.
	UrgentWaitFactor float64
	// MinRetryAfter and NoBackendRetryAfter are the shortest retry-after times of refused
	// requests: the first if there was no capacity, the second if there was no backend server.
	MinRetryAfter, NoBackendRetryAfter time.Duration
	// MaxAddedRetryAfter bounds what is added to them for the excess of the wait over its limit.
	MaxAddedRetryAfter time.Duration
}

// DefaultPolicy returns the policy in production use.
func DefaultPolicy() Policy {
	return Policy{
		NearChoices: 2,
		FarChoices:  1,
		UnseenCost:  2,
		RankCost:    20 * time.Millisecond,
		SeenTTL:     20 * time.Second,

		LostThreshold:    2,
		RefusedThreshold: 2,
		MinSuspension:    400 * time.Millisecond,
		MaxSuspension:    4 * time.Second,
		ReportHalfLife:   1500 * time.Millisecond,
		SlowdownDecay:    300 * time.Millisecond,
		DecreaseGain:     0.2,
		IncreaseGain:     0.02,
		ServiceGain:      0.05,
		MaxWorkShare:     0.3,
		InitialWork:      200 * time.Millisecond,

		ColdAfterDrain:    1500 * time.Millisecond,
		ColdSlack:         300 * time.Millisecond,
		WarmingRateShare:  1.1,
		FewInstancesRatio: 1.5,
		TurnWindow:        400 * time.Millisecond,

		LoadSmoothing: 2 * time.Second,
		ShareInterval: 250 * time.Millisecond,
		ShareStep:     0.02,
		MinShare:      0.2,
		BusyLoad:      0.9,
		BusyRatio:     1.15,
		RecoverRatio:  0.8,

		UrgentWaitFactor:    1.2,
		MinRetryAfter:       100 * time.Millisecond,
		NoBackendRetryAfter: 300 * time.Millisecond,
		MaxAddedRetryAfter:  300 * time.Millisecond,
	}
}
