// SPDX-License-Identifier: MIT

package balance

import "time"

// Policy holds the figures that choices are made by. It is set by code, not by
// operators: an experiment or an ablation changes one field. Where a field's
// origin names the bench, docs/POLICY.md has the plays.
type Policy struct {
	// NearChoices and FarChoices are the numbers of backend servers that an object's
	// requests may go to: the first in the order by region, and the first in
	// an order that is the same for all regions. Others would have to warm up
	// for an object that seldom comes to them. Origin: the bench.
	NearChoices, FarChoices int
	// UnseenCost is what a backend server that has not seen the object costs more,
	// relative to its usual work. Origin: unseen work takes three times as long.
	UnseenCost float64
	// PlaceCost keeps an object where it is while others are not clearly
	// better. Origin: the bench.
	RankCost time.Duration
	// SeenFor is how long a backend server is taken to remember an object. Origin:
	// the bench.
	SeenTTL time.Duration

	// LostInARow is the number of lost answers in a row from which a backend server
	// is suspended; one that can't be reached is suspended at once. Origin: the
	// bench.
	LostThreshold int
	// RefusedInARow is the number of refusals in a row by a backend server that says that it
	// has slots free from which it is the last choice. Origin: as LostInARow, one alone may be
	// the request's fault.
	RefusedThreshold int
	// SuspendLeast and SuspendMost bound for how long a backend server that failed
	// gets nothing. Origin: a restart takes longer than the first and is
	// noticed soon after by the second.
	MinSuspension, MaxSuspension time.Duration
	// ReportLife is the time in which a load report loses half of its worth.
	// Origin: some ten times the usual work.
	ReportHalfLife time.Duration
	// PaceLife is the time in which what was told of a host's pace falls to 1/e of its
	// worth: hosts change their pace many times a second.
	SlowdownDecay time.Duration
	// QuickGain and SlowGain are the weights of a new answer in the usual time
	// of work, when it came sooner than usual and when it came later. They
	// differ since an answer's time may contain waiting, or work on an object
	// that the backend server had not seen. Origin: the bench.
	DecreaseGain, IncreaseGain float64
	// ServiceGain is the weight of a backend server's usual time of work in that of
	// its service, with each answer.
	ServiceGain float64
	// WorkShare is the part of a route's objective that work is taken to need at
	// most, when it is decided how long a request may wait: operators set
	// objectives that usual work meets.
	MaxWorkShare float64
	// FirstWork is the assumed time of work before any answer. Origin: between
	// seen and unseen work of the services that were met.
	InitialWork time.Duration

	// AfterDrain is how long a backend server counts as cold after its place is no
	// longer drained, unless it says more itself. Origin: the bench.
	ColdAfterDrain time.Duration
	// ColdSlack lengthens the time for which a backend server says it is cold: what
	// it says is that old when it comes.
	ColdSlack time.Duration
	// ColdShare is the part of a warming rate that all instances together use.
	// Origin: twice the rate is too much, and some are at work that are not
	// known yet.
	WarmingRateShare float64
	// FewShare is the number of instances, relative to the rate, up to which a
	// turn may be taken late: even if all take one in the same second they
	// stay near the rate.
	FewInstancesRatio float64
	// TurnTime is how long a turn is good for when there are more.
	TurnWindow time.Duration

	// ShareMemory is the time over which a backend server's load is smoothed.
	LoadSmoothing time.Duration
	// ShareEvery is the pause between two steps of the shares of a service.
	ShareInterval time.Duration
	// ShareStep bounds one step, as a part of the share. It keeps what moves
	// between regions far below what operators allow.
	ShareStep float64
	// ShareLeast is the least share.
	MinShare float64
	// ShareBusy is the load, relative to the slots, above which a backend server
	// gives objects up, if it is also ShareOver times the mean of its service.
	BusyLoad, BusyRatio float64
	// ShareBack is the part of that load below which it takes objects back.
	RecoverRatio float64

	// UrgentPatience is the time, in objectives, within which a request must be
	// answered where less urgent routes use the same service: of two that
	// would be a little late there, the urgent one is taken. Origin: the bench.
	UrgentWaitFactor float64
	// LeastComeBack and NoneComeBack are the times after which a refused
	// request should come back, at least: the first when there was no room, the
	// second when there was no backend server. Origin: the bench.
	MinRetryAfter, NoBackendRetryAfter time.Duration
	// MostOver bounds what is added for the wait that there would have been.
	MaxAddedRetryAfter time.Duration
}

// DefaultPolicy returns the policy in use.
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
