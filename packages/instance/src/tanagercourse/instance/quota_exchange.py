"""Exchange quota queries and grants with the relays over UDP.

One task for each relay sends this instance's queries and waits for the answers; one
task receives all datagrams, and answers queries if this instance is a relay. Nothing is
sent, and no socket is opened, while no tenant has a limit.
"""

import socket
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ConfigurationVersion, InstanceId, TenantId
from tanagercourse.gateway.counters import Counters
from tanagercourse.gateway.logs import Log
from tanagercourse.instance.settings import Endpoint, InstanceSettings
from tanagercourse.quota.accounts import QUERY_INTERVAL_S
from tanagercourse.quota.granter import Granter
from tanagercourse.quota.granter_records import GranterId
from tanagercourse.quota.holder import Holder
from tanagercourse.quota.limits import QuotaBounds, QuotaLimit
from tanagercourse.quota.local_share import LocalShare
from tanagercourse.quota.messages import Query, decode, encode
from tanagercourse.quota.tokens import QuotaAccess, QuotaExceeded, QuotaToken
from tanagercourse.routing.configuration import Configuration

# Maximum time that a request waits for a token, in seconds.
MAX_WAIT_S = 0.25
# Interval at which a waiting request checks for a standby token, in seconds.
RECHECK_INTERVAL_S = 0.1
# Interval between checks for a first tenant with a limit, in seconds.
LIMIT_CHECK_INTERVAL_S = 0.5
# Interval between attempts to open the port, in seconds.
OPEN_INTERVAL_S = 1.0
# Maximum size of a datagram, in bytes.
MAX_DATAGRAM_BYTES = 65_535
# Number of datagrams that are read before other tasks run.
MAX_READ_AT_ONCE = 32
FIRST_NUMBER_BITS = 40

GetConfiguration = Callable[[], Configuration | None]


def boot_time_s() -> float:
    """Return CLOCK_BOOTTIME, which includes suspended time, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ActiveLimits:
    """The limits of the active configuration.

    Attributes:
        by_tenant: Limits of the tenants that have one.
        exist: Is set once a tenant has a limit.
    """

    def __init__(self, configuration: GetConfiguration) -> None:
        self.by_tenant: Mapping[TenantId, QuotaLimit] = {}
        self.exist = anyio.Event()
        self._configuration = configuration
        self._version: ConfigurationVersion | None = None

    def refresh(self) -> bool:
        """Read the active configuration; return whether it is another one."""
        configuration = self._configuration()
        if configuration is None or configuration.version == self._version:
            return False
        self._version = configuration.version
        directory = configuration.tenants
        tenants = directory.tenants.values() if directory is not None else ()
        self.by_tenant = {
            tenant.tenant_id: QuotaLimit(tenant.rate_per_s, tenant.burst)
            for tenant in tenants
            if tenant.has_quota
        }
        if self.by_tenant:
            self.exist.set()
        return True


@dataclass
class _Peer:
    """A relay as the task that queries it knows it.

    Attributes:
        address: Address of its UDP port.
        due: Is set if there may be something to ask.
        awaited: Number of the newest query; None before the first.
        answered: Is set when the answer to that query arrives.
    """

    address: tuple[str, int]
    due: anyio.Event = field(default_factory=anyio.Event)
    awaited: int | None = None
    answered: anyio.Event = field(default_factory=anyio.Event)


class QuotaExchange:
    """State that the tasks of the exchange and the waiting requests share.

    Attributes:
        limits: Limits of the active configuration.
        holder: Tokens of this instance.
        granter: The share that this instance grants; None if it is no relay.
        peers: The relays.
    """

    def __init__(
        self,
        instance: InstanceId,
        relays: tuple[Endpoint, ...],
        granter: Granter | None,
        configuration: GetConfiguration,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """Create the state of an exchange; `run_exchange` runs it.

        Args:
            instance: Id of this instance.
            relays: UDP addresses of the relays, each once.
            granter: The share that this instance grants; None if it is no relay.
            configuration: Returns the active configuration.
            clock: CLOCK_BOOTTIME, in seconds.
        """
        self.limits = ActiveLimits(configuration)
        self.granter = granter
        self.clock = clock
        self.peers = {
            GranterId(f"{relay.host}:{relay.port}"): _Peer((relay.host, relay.port))
            for relay in relays
        }
        first_number = Random().getrandbits(FIRST_NUMBER_BITS)
        self.holder = Holder(instance, self.peers, first_number)
        self._changed: dict[TenantId, anyio.Event] = {}

    def refresh(self) -> None:
        """Apply the limits of a new configuration."""
        if self.limits.refresh():
            self.holder.configure(self.limits.by_tenant)
            if self.granter is not None:
                self.granter.configure(self.limits.by_tenant, self.clock())
            # Also removes the events of tenants that no longer have a limit.
            self.notify_waiting(tuple(self._changed))

    def access(self) -> QuotaAccess:
        """Return the access to tokens for requests."""

        async def acquire_token(tenant: TenantId) -> Result[QuotaToken, QuotaExceeded]:
            return await _acquire(self, tenant)

        def give_back(token: QuotaToken) -> None:
            self.holder.give_back(token, self.clock())
            self.notify_waiting([token.tenant])

        return QuotaAccess(
            acquire_token, lambda token: self.clock() < token.expires_at_s, give_back
        )

    def changed(self, tenant: TenantId) -> anyio.Event:
        """Return an event that is set when tokens of a tenant may have arrived."""
        return self._changed.setdefault(tenant, anyio.Event())

    def notify_waiting(self, tenants: Iterable[TenantId]) -> None:
        """Let the waiting requests of tenants check for a token."""
        for tenant in tenants:
            event = self._changed.pop(tenant, None)
            if event is not None:
                event.set()

    def ask(self, granter: GranterId | None) -> None:
        """Let the tasks of one relay, or of all, check for something to ask."""
        for peer in self.peers.values() if granter is None else [self.peers[granter]]:
            peer.due.set()


async def _acquire(
    exchange: QuotaExchange, tenant: TenantId
) -> Result[QuotaToken, QuotaExceeded]:
    exchange.refresh()
    holder, now_s = exchange.holder, exchange.clock()
    if tenant not in exchange.limits.by_tenant:
        return Success(QuotaToken(tenant, now_s + MAX_WAIT_S))
    holder.record_demand(tenant, now_s)
    token = holder.take(tenant, now_s)
    if token is not None:
        return Success(token)
    until_s = now_s + MAX_WAIT_S
    holder.change_waiting(tenant, 1)
    try:
        while now_s < until_s:
            resumes_at_s = holder.exhausted_until_s(tenant, now_s)
            if resumes_at_s >= until_s:
                return Failure(QuotaExceeded(tenant, resumes_at_s - now_s))
            if resumes_at_s <= now_s:
                exchange.ask(holder.granter_for(tenant, now_s))
                resumes_at_s = now_s + RECHECK_INTERVAL_S
            with anyio.move_on_after(min(resumes_at_s, until_s) - now_s):
                await exchange.changed(tenant).wait()
            now_s = exchange.clock()
            exchange.refresh()
            if tenant not in exchange.limits.by_tenant:
                return Success(QuotaToken(tenant, now_s + MAX_WAIT_S))
            token = holder.take(tenant, now_s)
            if token is not None:
                return Success(token)
    finally:
        holder.change_waiting(tenant, -1)
    resumes_at_s = holder.exhausted_until_s(tenant, now_s)
    return Failure(QuotaExceeded(tenant, max(MAX_WAIT_S, resumes_at_s - now_s)))


async def run_exchange(
    exchange: QuotaExchange, address: Endpoint, counters: Counters, log: Log
) -> None:
    """Exchange datagrams with the relays from the first limit on until cancelled.

    Args:
        exchange: State of the exchange.
        address: Address of this instance's UDP port.
        counters: Counts queries, answers and malformed datagrams.
        log: Logger for relays that stop or start to answer.
    """
    while not exchange.limits.exist.is_set():
        exchange.refresh()
        with anyio.move_on_after(LIMIT_CHECK_INTERVAL_S):
            await exchange.limits.exist.wait()
    with await _open_socket(address, log) as udp:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_receive, exchange, udp, counters)
            for granter in exchange.peers:
                tasks.start_soon(_query_peer, exchange, granter, udp, counters, log)


async def _open_socket(address: Endpoint, log: Log) -> socket.socket:
    """Open the UDP port; try again while it is in use or no descriptor is free."""
    is_logged = False
    while True:
        try:
            return _bind_socket(address)
        except OSError as error:
            if not is_logged:
                log.error("quota_port_not_open", port=address.port, detail=str(error))
            is_logged = True
        await anyio.sleep(OPEN_INTERVAL_S)


def _bind_socket(address: Endpoint) -> socket.socket:
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp.setblocking(False)
        udp.bind((address.host, address.port))
    except OSError:
        udp.close()
        raise
    return udp


async def _query_peer(
    exchange: QuotaExchange,
    granter: GranterId,
    udp: socket.socket,
    counters: Counters,
    log: Log,
) -> None:
    """Query one relay, with at most one query outstanding, until cancelled."""
    peer, holder, is_silent = exchange.peers[granter], exchange.holder, False
    while True:
        query = holder.make_query(granter, exchange.clock())
        if query is None:
            peer.due = anyio.Event()
            with anyio.move_on_after(QUERY_INTERVAL_S):
                await peer.due.wait()
            continue
        peer.awaited, peer.answered = query.number, anyio.Event()
        _send(udp, encode(query), peer.address)
        counters.count("quota_query")
        with anyio.move_on_after(holder.answer_timeout_s(granter)):
            await peer.answered.wait()
        if not peer.answered.is_set():
            holder.record_timeout(granter, query.number)
            exchange.ask(None)
        was_silent = is_silent
        is_silent = holder.is_silent(granter, exchange.clock())
        if is_silent and not was_silent:
            log.warning("quota_granter_silent", granter=granter)
        elif was_silent and not is_silent:
            log.info("quota_granter_back", granter=granter)


async def _receive(
    exchange: QuotaExchange, udp: socket.socket, counters: Counters
) -> None:
    """Receive datagrams until cancelled; answer queries if this instance is a relay."""
    granters = {peer.address: granter for granter, peer in exchange.peers.items()}
    while True:
        await anyio.wait_readable(udp)
        for _ in range(MAX_READ_AT_ONCE):
            try:
                datagram, address = udp.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                break
            decoded = decode(datagram)
            if isinstance(decoded, Failure):
                counters.count("quota_malformed")
                continue
            message = decoded.unwrap()
            if isinstance(message, Query):
                _answer(exchange, message, udp, address, counters)
                continue
            granter = granters.get(address)
            if granter is not None and exchange.holder.handle_answer(
                granter, message, exchange.clock()
            ):
                peer = exchange.peers[granter]
                if message.number == peer.awaited:
                    peer.answered.set()
                exchange.notify_waiting(message.grants)


def _answer(
    exchange: QuotaExchange,
    query: Query,
    udp: socket.socket,
    address: tuple[str, int],
    counters: Counters,
) -> None:
    if exchange.granter is None:
        return
    exchange.refresh()
    answer = exchange.granter.answer(query, exchange.clock())
    if answer is not None:
        _send(udp, encode(answer), address)
        counters.count("quota_answer")


def _send(udp: socket.socket, datagram: bytes, address: tuple[str, int]) -> None:
    """Send a datagram; one that can't be sent counts as lost."""
    try:
        udp.sendto(datagram, address)
    except OSError:
        return


def make_local_access(
    bounds: QuotaBounds,
    configuration: GetConfiguration,
    instance_count: Callable[[], int],
    clock: Callable[[], float] = boot_time_s,
) -> QuotaAccess:
    """Return access to this instance's own share, for deployments without relays.

    Args:
        bounds: Bounds on the requests that may run in a window.
        configuration: Returns the active configuration.
        instance_count: Returns the number of instances that share a limit.
        clock: CLOCK_BOOTTIME, in seconds.
    """
    limits, share = ActiveLimits(configuration), LocalShare(bounds)

    async def acquire(tenant: TenantId) -> Result[QuotaToken, QuotaExceeded]:
        now_s = clock()
        if limits.refresh():
            share.configure(limits.by_tenant, now_s)
        if tenant not in limits.by_tenant:
            return Success(QuotaToken(tenant, now_s + MAX_WAIT_S))
        token = share.take(tenant, instance_count(), now_s)
        if token is not None:
            return Success(token)
        retry_after_s = share.retry_after_s(tenant, instance_count())
        return Failure(QuotaExceeded(tenant, retry_after_s))

    def give_back(token: QuotaToken) -> None:
        share.give_back(token, clock())

    return QuotaAccess(acquire, lambda token: clock() < token.expires_at_s, give_back)


def start_quotas(
    settings: InstanceSettings,
    configuration: GetConfiguration,
    zone_instance_count: Callable[[], int],
    counters: Counters,
    log: Log,
    tasks: TaskGroup,
) -> QuotaAccess:
    """Start the exchange with the relays and return the access to tokens.

    Args:
        settings: Settings of this instance.
        configuration: Returns the active configuration.
        zone_instance_count: Returns the number of instances in this instance's zone.
        counters: Counters of this instance.
        log: Logger for relays that stop or start to answer.
        tasks: Runs the tasks of the exchange.
    """
    bounds = QuotaBounds(
        settings.quota_window_s, settings.quota_overshoot, settings.quota_slack
    )
    port = settings.peer_ports[0]
    hosts = dict.fromkeys(relay.host for relay in settings.relays)
    relays = tuple(Endpoint(host, port) for host in hosts)
    if not relays:
        zone_count = len(settings.location.regions)
        return make_local_access(
            bounds, configuration, lambda: zone_instance_count() * zone_count
        )
    granter = None
    if settings.relay_endpoint in settings.relays:
        granter = Granter(bounds, len(relays))
    exchange = QuotaExchange(settings.instance, relays, granter, configuration)
    tasks.start_soon(
        run_exchange, exchange, Endpoint(settings.host, port), counters, log
    )
    return exchange.access()
