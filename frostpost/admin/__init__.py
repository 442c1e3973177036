"""The operators' commands."""
