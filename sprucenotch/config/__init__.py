"""Other forms of a configuration file than the platform's, which the sidecar reads without any of this."""
