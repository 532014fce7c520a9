package order

import "github.com/cardamompier/cardamompier/metrics"

// Claims counts claims by their result.
var Claims = metrics.New("order_claims_total", "Claims of orders, by result.")

// Labels of Claims that are no Reason.
const (
	claimGranted  = "granted"
	claimRepeated = "repeated"
)

// resultOfClaim returns what Ledger.Claim returns.
func resultOfClaim(claim *Claim, answer verdict, failed *Error) (*Claim, Record, error) {
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

// resultOfFinish returns what Ledger.Finish returns.
func resultOfFinish(id ID, answer verdict, failed *Error) error {
	if failed != nil {
		return failed
	}
	if answer.Failure != "" {
		return &Error{ID: id, Reason: answer.Failure}
	}
	return nil
}
