"""Declarations of templates and tenants: checks, routes made of them, and their replicated bodies."""
