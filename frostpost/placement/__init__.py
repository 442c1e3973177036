"""Selection of a runner for a call: vetoes exclude runners, scores order the others; pure functions."""
