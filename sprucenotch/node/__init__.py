"""The real sidecar: sprucenotch's decisions on sockets."""
