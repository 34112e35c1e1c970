"""Which node owns a runner's slots, and how nodes act together on them."""
