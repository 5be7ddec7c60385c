"""sprucenotch: a client-side load balancer that runs as a sidecar."""

from sprucenotch.api import Settings
from sprucenotch.policy.balance import Balancer

__version__ = "0.2.0"
__all__ = ["Balancer", "Settings", "__version__"]
