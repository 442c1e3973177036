"""Extended virtual synchrony: membership, total order, recovery and the primary component, as a pure core."""
