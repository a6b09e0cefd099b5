package limit

// Budget is a token bucket that is filled by a share of the regular traffic rather
// than by time, so that extra work such as retries stays in proportion to the regular
// work. It is not safe for concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget. Each Deposit adds share tokens, up to a total of
// burst.
func NewBudget(share, burst float64) *Budget {
	return &Budget{
		share:  share,
		burst:  burst,
		tokens: burst,
	}
}

// Deposit adds the tokens for one unit of regular traffic, such as one start.
func (budget *Budget) Deposit() {
	budget.tokens = min(budget.tokens+budget.share, budget.burst)
}

// TryWithdraw spends one token. It reports false, and spends nothing, if less than
// one token is left.
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
