//! Retry budgets, hedges and suspect requests.
