"""Replicated state of the own HTTP interface; pure functions of (state, ordered entry)."""
