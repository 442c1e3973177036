"""The users' platform translated: settings, HTTP, control calls, the list of runners; its names stand only here."""
