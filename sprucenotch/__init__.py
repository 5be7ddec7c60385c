"""sprucenotch: the decisions of a client-side load balancer that runs as a sidecar."""

from sprucenotch.api import Settings
from sprucenotch.balance import Balancer

__all__ = ["Balancer", "Settings"]
