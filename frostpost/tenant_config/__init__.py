"""Templates and tenants: validation, the routes instantiated from them, and replication of the documents' bodies."""
