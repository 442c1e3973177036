"""Operator commands."""
