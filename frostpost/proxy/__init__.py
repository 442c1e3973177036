"""Request proxying: routing, runner selection, forwarding, retries, streaming and connection pooling."""
