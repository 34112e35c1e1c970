"""History checking: concurrent runs under failure, recorded and checked promise by promise."""
