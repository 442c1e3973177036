"""A request's way: its route, a runner, the send, retries, streams, and connections to runners."""
