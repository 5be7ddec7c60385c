"""The interface of the decision module: settings, events in, actions out. Times are integer nanoseconds."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple, TypeAlias

from msgspec import Struct

EndpointId: TypeAlias = bytes


class Effect(IntEnum):
    """The effect of running a request twice."""

    SAFE = 0  # harmless
    KEYED = 1  # repeats are dropped by the endpoints of one group, within a window
    UNSAFE = 2  # not allowed


class Scope(IntEnum):
    """Which endpoints form a deduplication group, and so drop each other's repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Health(IntEnum):
    """State of an endpoint in discovery's list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What an EndpointList contains, or how a call to discovery failed."""

    FAILED = 0  # a call to discovery failed; the current list stays
    CACHED = 1  # the last known list, possibly stale
    DELTA = 2  # changed entries only
    FULL = 3  # the complete list
    SILENT = 4  # a call to discovery got no answer in time; the current list stays


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1  # the endpoint answered with an error; it may have run
    FULL = 2  # rejected by the endpoint before it ran
    TIMEOUT = 3  # no answer in time; it may have run, or may still be running
    CONNECT_FAILED = 4  # no connection, or the request was not sent whole, so it never ran
    RESET = 5  # the connection broke during the attempt; it may have run
    CANCELLED = 6  # cancelled by this sidecar; it may have run
    MOOT = 7  # never sent: the request had ended, expired or used up its attempts
    # Never sent: this machine lacked descriptors or memory, the limit on connections was reached, or the
    # attempt timed out while a local failure to connect (also for lack of ports or routes) was being retried.
    LOCAL_FAILURE = 8


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.LOCAL_FAILURE))


class RequestClass(Struct, frozen=True):
    """A class of requests: its time limits, worth and repeatability."""

    name: str
    aim: int  # an answer within this time earns the full worth
    limit: int  # total time that a client waits, over all its tries
    worth: float
    late_worth: float = 0.0  # share of the worth earned by an answer after the aim
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window: int = 0  # time in which repeats of a keyed request are dropped
    aim_stretch: float = 0.0


class Tenant(Struct, frozen=True):
    """A tenant and its quota of requests."""

    name: str
    quota_per_s: float  # over all sidecars


class Settings(Struct, frozen=True):
    """Settings of the decisions. Times are nanoseconds."""

    classes: tuple[RequestClass, ...]
    instance: int = 0  # number of this sidecar, from 0
    instances: int = 1  # number of sidecars
    zone: int = 0
    zones: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    discovery_on_request: bool = False
    ask_within: int = 10_000_000_000
    drain_grace: int = 500_000_000  # how long requests may still go to a server that is known to drain
    cold_from: float = 1.0  # minimum share of its full capacity that a starting endpoint has
    cold_for: int = 0  # time after its start when an endpoint is warm
    fall_multiple: float = 2.0
    max_attempts: int = 3
    can_cancel: bool = False
    parallel_tries: bool = False
    peers: bool = False
    probes: bool = False
    retry_after_max: int = 0  # longest retry-after advice that clients follow; 0: no advice
    report_fields: tuple[str, ...] = ()  # among: rif, q, busy, lat_ms, rate, fail_rate
    cross_price: float = 0.0  # per attempt sent to another zone, as a share of the mean worth of a request
    handshake_price: float = 0.0
    connection_price: float = 0.0
    probe_price: float = 0.0
    waste_price: float = 0.0
    worth_by_work: bool = False
    warm_keys: bool = False  # an endpoint serves a recently served key with less work
    tick: int = 5_000_000  # minimum time between two turns of a sidecar


class Endpoint(NamedTuple):
    """An entry of discovery's list."""

    id: EndpointId
    zone: int
    kind: int
    cell: int
    health: int  # a Health
    share: float  # registered capacity, relative to other endpoints
    started: int  # time of its last start; 0: long ago


class Attached(NamedTuple):
    """The first event of every instance."""


class EndpointList(NamedTuple):
    """A list from discovery, changes of it, or a failed call."""

    kind: int  # a ListKind
    endpoints: tuple[Endpoint, ...]


class Request(NamedTuple):
    """A request from a client."""

    id: int
    cls: int  # index into Settings.classes
    tenant: int  # index into Settings.tenants
    key: int  # hash of its key; 0: none
    expires_at: int  # time at which the client abandons this try
    hint: int  # expected work; 0: none
    repeat: bool  # marked by the client as a repeat
    uploading: bool = False  # the body is still being received: its deadline counts from Uploaded


class Uploaded(NamedTuple):
    """The body of a request with `uploading` set is complete."""

    id: int
    expires_at: int


class Shortened(NamedTuple):
    """A request has to be answered earlier than was said, as the process will be killed."""

    id: int
    expires_at: int


class Completed(NamedTuple):
    """An attempt has ended."""

    id: int
    attempt: int
    endpoint: EndpointId
    outcome: int  # an Outcome
    took: int  # duration of the attempt
    over: bool  # the request has its final answer
    report: tuple[float, ...]  # in the order of Settings.report_fields; may be empty


class StreamStarted(NamedTuple):
    """The answer is a stream and has started: no final answer follows."""

    id: int


class Gone(NamedTuple):
    """The client has left: no answer is needed any more."""

    id: int


class Timer(NamedTuple):
    """A timer set by SetTimer has expired."""

    token: int


class Probed(NamedTuple):
    """A probe has ended."""

    endpoint: EndpointId
    outcome: int
    took: int
    report: tuple[float, ...]


class Retuned(NamedTuple):
    """New settings for later requests. The simulator has no such event."""

    settings: Settings


class LearnedEngine(Struct, frozen=True, array_like=True):
    """Learned state of an endpoint. Times are durations, as clocks of two processes differ."""

    id: EndpointId
    started: int  # start time by the list; the state is void after another start
    relative_latency: float  # its latency relative to the mean of the request classes
    failure_rate: float  # share of failed attempts, 0 to 1
    last_answer_age: int  # time since its last answer; -1: never
    consecutive_failures: int
    ejections: int
    ejected_for: int  # remaining time out of the subset


class LearnedClass(Struct, frozen=True, array_like=True):
    """Learned state of a request class."""

    name: str
    aim: int
    level: int  # business level
    base: float  # latency without queueing
    mean: float  # mean latency
    latency: tuple[float, float]  # sum of latency / aim, and count


class Learned(Struct, frozen=True, array_like=True):
    """The learned state of the decisions, as a value that another process can restore."""

    engines: tuple[LearnedEngine, ...]
    classes: tuple[LearnedClass, ...]
    histogram: dict[int, float]  # arrivals with a key, by level
    keyless_arrivals: tuple[float, ...]  # arrivals without keys, by business level
    cut: float
    crossing_share: float  # share of requests sent to other zones
    budget: float  # retries available
    peak_in_flight: float  # of the requests in flight


class Recalled(NamedTuple):
    """The state that an earlier process of this sidecar had learned, and its age."""

    learned: Learned
    age: int


class ClockSkew(NamedTuple):
    """The skew of this process's clock against discovery's, measured from an answer."""

    skew: int  # nanoseconds by which this process's clock is ahead


class DiscoveryMoved(NamedTuple):
    """The address of discovery has changed. The simulator has no such event."""


class PeerMessage(NamedTuple):
    """A message of another sidecar, sent by Tell."""

    sender: int
    body: bytes


Event: TypeAlias = (
    Attached
    | EndpointList
    | Request
    | Uploaded
    | Shortened
    | Completed
    | StreamStarted
    | Gone
    | Timer
    | Probed
    | PeerMessage
    | Retuned
    | Recalled
    | DiscoveryMoved
    | ClockSkew
)


class Send(NamedTuple):
    """Send an attempt of a request to an endpoint."""

    id: int
    endpoint: EndpointId
    timeout: int  # 0: until the client gives up
    send_before: int = 0  # latest time to send it, as a later repeat would run twice; 0: no limit


class Reason(StrEnum):
    """Why a request gets no answer from a server and no further attempt."""

    ADMISSION = "admission"  # its level is below the admission cut
    USELESS = "useless"  # a repeat too late for an answer to count
    EXPIRED = "expired"  # its deadline has passed, or is too near for an answer
    NO_SERVER = "no server"  # no endpoint may get it
    ATTEMPTS = "attempts"  # the maximum number of attempts was made
    RETRY_BUDGET = "retry budget"  # the retry budget is used up
    OVERLOAD = "overload"  # a further attempt would add to the overload
    MAY_HAVE_RUN = "may have run"  # a repeat could run it twice
    CALLED_OFF = "called off"  # nothing was sent, and the request had already ended


class Refuse(NamedTuple):
    """Final answer: refused; a retry by the client is harmless."""

    id: int
    retry_after: int  # retry-after advice to the client in nanoseconds; 0: none
    why: Reason


class Fail(NamedTuple):
    """Final answer: failed; the request may have run."""

    id: int
    why: Reason


class Cancel(NamedTuple):
    """Cancel an attempt."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Deliver a Timer with this token after the delay."""

    delay: int
    token: int


class Watch(NamedTuple):
    """Call discovery for changes of the list, and then watch for further ones."""

    on: bool


class Probe(NamedTuple):
    """Probe an endpoint; Probed follows."""

    endpoint: EndpointId


class Disconnect(NamedTuple):
    """Close the connections to an endpoint."""

    endpoint: EndpointId


class Tell(NamedTuple):
    """Send a message to another sidecar."""

    peer: int  # a sidecar's number; -1: all
    body: bytes


class Log(NamedTuple):
    """Write a line to the log."""

    text: str


Action: TypeAlias = Send | Refuse | Fail | Cancel | SetTimer | Watch | Probe | Disconnect | Tell | Log
