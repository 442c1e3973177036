"""The daemon: settings, event loop, links to peers, log writer and lifecycle."""
