"""Stand-in callers, runners and platform; local fleets; proofs judged from outside."""
