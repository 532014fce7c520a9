package planner

import (
	"time"

	"github.com/cardamompier/cardamompier/cloud"
)

const (
	// priorRisk is the reclaims in an hour that a market is taken to have
	// before anything was seen of it.
	priorRisk = 0.05
	// priorSpan is the observation that the prior counts for.
	priorSpan = 10 * time.Hour
)

// RiskEstimate counts the reclaims of each market over the time that hosts
// were held in it. The zero value knows the prior alone.
type RiskEstimate struct {
	reclaims map[cloud.Market]int
	held     map[cloud.Market]time.Duration
}

// Held adds time in which at least one host was held in a market.
func (r *RiskEstimate) Held(market cloud.Market, span time.Duration) {
	if r.held == nil {
		r.held = map[cloud.Market]time.Duration{}
	}
	r.held[market] += span
}

// Reclaimed adds one reclaim of a market, of however many hosts.
func (r *RiskEstimate) Reclaimed(market cloud.Market) {
	if r.reclaims == nil {
		r.reclaims = map[cloud.Market]int{}
	}
	r.reclaims[market]++
}

// PerHour returns the expected reclaims of a market in an hour; zero for a
// market whose hosts are not reclaimable.
func (r *RiskEstimate) PerHour(market cloud.Market) float64 {
	if !market.Reclaimable {
		return 0
	}
	seen := float64(r.reclaims[market]) + priorRisk*priorSpan.Hours()
	return seen / (r.held[market].Hours() + priorSpan.Hours())
}
