"""The metrics as OpenMetrics text.

prometheus-client's registry is not used, as its import took 3 MB and 0.06 s; the tests check the text with
its parser.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from sprucenotch import __version__
from sprucenotch.node.budget import Budget
from sprucenotch.node.log import LogHandler
from sprucenotch.node.status import StatusReport, open_descriptors
from sprucenotch.node.telemetry import OUTCOMES

SECOND = 1_000_000_000
GAUGES = {
    "cut": "Requests of a lower level are refused.",
    "cut_levels": "The highest possible cut.",
    "pressure": "Mean wait at the engines, as a share of the slack between service time and aim.",
    "pressure_over": "Pressure threshold at which the cut starts to rise.",
    "crossing": "Probability that a request that may be sent to another zone is sent there.",
    "flying": "Attempts in flight.",
    "peak": "Decaying maximum of the attempts in flight.",
    "retry_budget": "Retries available in the retry budget.",
}


def render(status_report: StatusReport, budget: Budget) -> bytes:
    """Return all metrics with their current values."""
    return "\n".join((*_lines(status_report, budget), "# EOF\n")).encode()


def _lines(status_report: StatusReport, budget: Budget) -> Iterator[str]:
    telemetry, decisions, process = (
        status_report.telemetry,
        status_report.decisions(),
        status_report.process(),
    )
    yield from _family("build", "info", "Version of the program.", [("_info", {"version": __version__}, 1)])
    by_class = {"served": telemetry.passed, "refused": telemetry.dropped, "failed": telemetry.bad_gateway}
    yield from _family(
        "requests", "counter", "Requests completed, by class and outcome.",
        (("_total", {"class": name, "outcome": outcome}, count)
         for outcome, counter in by_class.items() for name, count in counter.items()),
    )  # fmt: skip
    yield from _latencies(status_report)
    yield from _family(
        "upstream_tries",
        "counter",
        "Attempts whose request was sent completely.",
        [("_total", {}, telemetry.upstream_tries)],
    )
    attempts = [
        (status_report.upstream.name(engine), counts) for engine, counts in telemetry.by_engine.items()
    ]
    yield from _family(
        "attempts", "counter", "Attempts completed, by engine and outcome; unlisted engines as other.",
        (("_total", {"engine": name, "outcome": OUTCOMES[outcome]}, count)
         for name, counts in (*attempts, ("other", telemetry.other_engines))
         for outcome, count in enumerate(counts) if count),
    )  # fmt: skip
    yield from _family(
        "events", "counter", "Events counted for the status event.",
        (("_total", {"event": name}, count) for name, count in sorted(telemetry.events.items())),
    )  # fmt: skip
    yield from _family(
        "rule_violations", "counter", "Rules violated by this process; each violation is a defect.",
        (("_total", {"rule": rule.value}, count) for rule, count in telemetry.violations.items()),
    )  # fmt: skip
    yield from _family(
        "client_closes", "counter", "Client connections closed by this process, by reason.",
        (("_total", {"reason": reason.value}, count) for reason, count in telemetry.client_closes.items()),
    )  # fmt: skip
    yield from _family(
        "turned_down", "counter", "Requests refused or failed by this process, by reason.",
        (("_total", {"reason": reason.value}, count) for reason, count in telemetry.refusals.items()),
    )  # fmt: skip
    yield from _family(
        "retries", "counter", "Retries, by the outcome of the attempt before.",
        (("_total", {"after": OUTCOMES[outcome]}, count)
         for outcome, count in sorted(telemetry.retries.items())),
    )  # fmt: skip
    loads = [("taken", telemetry.loads), ("turned_down", telemetry.load_errors)]
    yield from _family("config_loads", "counter", "Configuration files read at SIGHUP, by result.",
                       (("_total", {"result": result}, count) for result, count in loads))  # fmt: skip
    known, skipped = status_report.engines()
    states = {"known": known, "skipped": skipped} | {key: decisions[key] for key in ("ready", "cold", "used")}
    yield from _family("engines", "gauge", "Engines, by state; an engine can be in several.",
                       (("", {"state": state}, count) for state, count in states.items()))  # fmt: skip
    for name, help_text in GAUGES.items():
        yield from _gauge(name, help_text, decisions[name])
    if (age := status_report.list_age()) is not None:
        yield from _gauge("list_age_seconds", "Time since discovery last confirmed the list.", age / SECOND)
    yield from _family(
        "log_lines_lost", "counter", "Log lines that could not be written.",
        [("_total", {}, LogHandler.lost)],
    )  # fmt: skip
    yield from _gauge("in_progress", "Requests accepted and not completed.", telemetry.in_progress)
    yield from _gauge("connections", "Connections to engines.", status_report.upstream.connections)
    yield from _gauge("body_memory_bytes", "Memory reserved for bodies.", budget.used)
    yield from _gauge("body_memory_limit_bytes", "Limit of the memory reserved for bodies.", budget.max_bytes)
    yield from _gauge("loop_lag_seconds", "Delay of the last status timer.", status_report.lag)
    yield from _gauge("resident_memory_bytes", "Resident memory.", process["memory_bytes"])
    if (descriptors := open_descriptors()) is not None:
        yield from _gauge("open_descriptors", "Open descriptors.", descriptors)
    yield from _gauge("descriptors_limit", "Limit of open descriptors.", process["descriptors_most"])
    yield from _gauge("uptime_seconds", "Time since the start.", process["uptime_seconds"])
    yield from _family("cpu_seconds", "counter", "CPU time used.", [("_total", {}, process["cpu_seconds"])])


def _latencies(status_report: StatusReport) -> Iterator[str]:
    def samples() -> Iterator[tuple[str, dict[str, str], float]]:
        for name, histogram in status_report.telemetry.latency.items():
            below = 0
            for bound, count in zip((*histogram.bounds, None), histogram.counts, strict=True):
                below += count
                le = "+Inf" if bound is None else repr(bound / SECOND)
                yield "_bucket", {"class": name, "le": le}, below
            yield "_count", {"class": name}, below
            yield "_sum", {"class": name}, histogram.sum / SECOND

    help_text = "Served requests, from whole request to answer; bounds: shares of the aim, and the deadline."
    yield from _family("request_duration_seconds", "histogram", help_text, samples())


def _gauge(name: str, help_text: str, value: float) -> Iterator[str]:
    return _family(name, "gauge", help_text, [("", {}, value)])


def _family(
    name: str, kind: str, help_text: str, samples: Iterable[tuple[str, dict[str, str], float]]
) -> Iterator[str]:
    yield f"# TYPE sprucenotch_{name} {kind}"
    yield f"# HELP sprucenotch_{name} {help_text}"
    for suffix, labels, value in samples:
        label_text = ",".join(f'{key}="{_escaped(text)}"' for key, text in labels.items())
        yield (
            f"sprucenotch_{name}{suffix}{{{label_text}}} {value}"
            if label_text
            else f"sprucenotch_{name}{suffix} {value}"
        )


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
