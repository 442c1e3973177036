"""Choice of a runner: vetoes, then scores; pure functions."""
