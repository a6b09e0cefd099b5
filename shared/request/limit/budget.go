package limit

// Budget is a token bucket that is filled by a share of the regular traffic
// rather than by time, so that extra work stays in proportion to the work that
// it serves. It is not safe for concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget. Each Earn adds share tokens, up to burst.
func NewBudget(share, burst float64) *Budget {
	return &Budget{
		share:  share,
		burst:  burst,
		tokens: burst,
	}
}

// Deposit records one unit of regular traffic.
func (budget *Budget) Deposit() {
	budget.tokens = min(budget.tokens+budget.share, budget.burst)
}

// TryWithdraw spends one token, or reports false when less than one is left.
func (budget *Budget) TryWithdraw() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// Tokens returns the number of tokens left.
func (budget *Budget) Tokens() float64 {
	return budget.tokens
}
