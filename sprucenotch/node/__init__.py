"""The sidecar process: runs sprucenotch's balancer on real sockets."""
