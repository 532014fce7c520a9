package planner

import (
	"time"

	"github.com/cardamompier/cardamompier/cloud"
)

const (
	// priorReclaimsPerHour is the reclaim rate assumed for a market (failure domain and class)
	// without observations.
	priorReclaimsPerHour = 0.05
	// priorHeldTime is the time of observation that weighs as much as the assumed reclaim rate.
	priorHeldTime = 10 * time.Hour
)

// RiskEstimate estimates the reclaim rate of each market (failure domain and class) from the
// reclaims seen and the time that hosts were held there. The zero value returns the assumed rate.
type RiskEstimate struct {
	reclaims map[cloud.Market]int
	held     map[cloud.Market]time.Duration
}

// AddHeldTime adds a span of time during which at least one host was held in a market.
func (r *RiskEstimate) AddHeldTime(market cloud.Market, span time.Duration) {
	if r.held == nil {
		r.held = map[cloud.Market]time.Duration{}
	}
	r.held[market] += span
}

// AddReclaim records one reclaim in a market, however many hosts it affects.
func (r *RiskEstimate) AddReclaim(market cloud.Market) {
	if r.reclaims == nil {
		r.reclaims = map[cloud.Market]int{}
	}
	r.reclaims[market]++
}

// PerHour returns the expected number of reclaims per hour in a market; zero for a market whose
// hosts are not reclaimable.
func (r *RiskEstimate) PerHour(market cloud.Market) float64 {
	if !market.Reclaimable {
		return 0
	}
	reclaims := float64(r.reclaims[market]) + priorReclaimsPerHour*priorHeldTime.Hours()
	return reclaims / (r.held[market].Hours() + priorHeldTime.Hours())
}
