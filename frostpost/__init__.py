"""A serving tier for agent programs, ordered by extended virtual synchrony."""
