"""Virtual time: the real decision logic over a simulated network, seeded and repeatable."""
