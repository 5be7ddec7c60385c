"""Reloading the configuration at SIGHUP: the whole file is applied, or none of it."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Iterator

from sprucenotch.node.config import Config, ConfigError, ConfigUnreadable, load
from sprucenotch.node.discovery import Discovery
from sprucenotch.node.frontend import Frontend
from sprucenotch.node.host import Host
from sprucenotch.node.log import configure_logging, event
from sprucenotch.platform.system_errors import retry_delays

# Seconds for which reading an unreadable file is retried. A new configuration must be in force 4 s after the
# signal.
LOAD_TIMEOUT = 2.0

log = logging.getLogger(__name__)


class Reload:
    """Applies a replaced configuration file: settings, logging and the address of discovery."""

    def __init__(self, config: Config, host: Host, frontend: Frontend, discovery: Discovery) -> None:
        self.config = config  # in force
        self._host, self._frontend, self._discovery = host, frontend, discovery
        self._loop = asyncio.get_running_loop()
        self._retry: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Read the file now. Replaces the retries that are pending for an earlier signal."""
        event(log, logging.INFO, "reloading")
        if self._retry is not None:
            self._retry.cancel()
        self._try(retry_delays(), self._loop.time() + LOAD_TIMEOUT)

    def _try(self, pause: Iterator[float], give_up_at: float) -> None:
        self._retry = None
        try:
            fresh = load(os.environ)
            fresh.check_complete(self.config)
        except ConfigUnreadable as problem:
            delay = next(pause)
            if self._loop.time() + delay > give_up_at:
                self._reject(problem)
                return
            event(log, logging.WARNING, "configuration not readable, tried again", why=str(problem))
            self._retry = self._loop.call_later(delay, self._try, pause, give_up_at)
        except ConfigError as problem:
            self._reject(problem)
        else:
            self._apply(fresh)

    def _reject(self, problem: ConfigError) -> None:
        self._host.telemetry.load_errors += 1
        event(log, logging.WARNING, "configuration turned down", why=str(problem))

    def _apply(self, fresh: Config) -> None:
        self._host.telemetry.loads += 1
        self.config = fresh
        configure_logging(fresh.log)
        self._frontend.retune(fresh)
        self._host.retune(fresh)
        self._discovery.retune(fresh)
        event(log, logging.INFO, "configuration taken", classes=[c.name for c in fresh.settings.classes])
