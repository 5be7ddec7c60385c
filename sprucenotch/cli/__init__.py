"""The command line. The sidecar does not import it."""
