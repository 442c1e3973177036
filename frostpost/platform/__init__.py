"""Adapter to the hosting platform: settings, HTTP, control calls and the runner list; its names appear only here."""
