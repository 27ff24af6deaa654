"""Record, merge and report how fast services burn their error budgets."""
