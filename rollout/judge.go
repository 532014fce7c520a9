package rollout

// Verdict compares the target of a roll-out with the old versions.
type Verdict struct {
	// Bad reports that the target is worse than the old versions. Sure reports that the evidence suffices for a
	// rollback; a bad verdict that is not sure only delays the promotion.
	Bad, Sure bool
	// Route is the route on which the target is worse; empty if it is so over all routes.
	Route string
	// Reason states the evidence in one line; empty if the target is not bad.
	Reason string
	// BadAnswers is the number of failed and slow answers of the target beyond what the old versions' share of
	// such answers explains. It is for reports; Bad and Sure decide.
	BadAnswers int64
}

// Judge returns the verdict on the target over the routes one by one and together.
func Judge(target string, old []string, e Evidence) Verdict { return Verdict{} }
