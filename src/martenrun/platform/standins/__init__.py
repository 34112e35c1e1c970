"""Stand-ins for the platform's store and runners, used by the tests, the demo and the soak test."""
