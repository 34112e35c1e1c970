"""Choice of the runner for a request: one class per policy behind one interface."""
