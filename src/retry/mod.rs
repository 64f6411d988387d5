//! Retry budgets, deadlines and outcomes.
