"""Admission: per-tenant limits, bounded waiting and retry budgets."""
