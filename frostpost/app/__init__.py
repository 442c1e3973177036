"""Assembly of a daemon of the own HTTP interface."""
