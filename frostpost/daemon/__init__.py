"""The daemon: settings, links, disk, event loop and assembly."""
