package order

import "github.com/cardamompier/cardamompier/metrics"

// Claims counts calls of Ledger.Claim by result: granted, repeated, or the Reason
// of a failure.
var Claims = metrics.New("order_claims_total", "Claims of orders, by result.")

// The labels of the counter Claims for calls that did not fail.
const (
	claimGranted  = "granted"
	claimRepeated = "repeated"
)

// resultOfClaim converts the decision on a claim, or the failure to get one, into
// the return values of Ledger.Claim.
func resultOfClaim(claim *Claim, answer decision, failed *Error) (*Claim, Record, error) {
	switch {
	case failed != nil:
		Claims.Inc(string(failed.Reason))
		if failed.Reason == ReasonUnknown {
			failed.Pending = claim
		}
		return nil, Record{}, failed
	case answer.Failure != "":
		Claims.Inc(string(answer.Failure))
		return nil, answer.Record, &Error{ID: claim.ID, Reason: answer.Failure}
	case answer.Granted:
		Claims.Inc(claimGranted)
		return claim, answer.Record, nil
	default:
		Claims.Inc(claimRepeated)
		return nil, answer.Record, nil
	}
}

// resultOfFinish converts the decision on an outcome, or the failure to get one,
// into the return value of Ledger.Finish.
func resultOfFinish(id ID, answer decision, failed *Error) error {
	if failed != nil {
		return failed
	}
	if answer.Failure != "" {
		return &Error{ID: id, Reason: answer.Failure}
	}
	return nil
}
