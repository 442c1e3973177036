"""Replicated state of programs as trees of turns: attempts, budgets, operation keys and routing; pure functions."""
