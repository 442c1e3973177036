"""Replicated state machine of the HTTP interface: pure functions of the state and one ordered entry."""
