"""Finds out which software began a stream that a caller resumes.

The process that served the stream may have ended. Schedulers hear of each
attempt before it is made, so they are asked first. Other processes are asked,
and the records in the store are read, only if several versions may have begun
the stream.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

import anyio

from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import peer
from ibisknot import software_history
from ibisknot import software_records
from ibisknot import stream_origins
from ibisknot import stream_records
from ibisknot.gen.fleet import ttypes

ASK_TIMEOUT_S = 0.2
MAX_WAIT_S = 1.0
"""Time for which a process waits for those that may know.

One that has just started may not know the schedulers yet.
"""
RETRY_PAUSE_S = 0.1
MAX_OTHERS_ASKED = 32
"""Other processes that are asked if no scheduler knows the stream."""
UNANSWERED_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(slots=True)
class _Search:
    """The search for the origin of one stream.

    Attributes:
        stream_id: Id of the stream; empty if the caller does not name it.
        services: Names of the services that may have begun it.
        started_s: Time at which the search began.
        end_s: Time at which the search ends.
        others_asked: Whether processes other than schedulers were asked.
        schedulers: Number of schedulers that were asked last.
        answered: Number of those that answered.
        candidates: The services and versions that may have begun it.
        is_complete: Whether there are no other candidates.
        are_records_read: Whether the records in the store were read.
    """

    stream_id: str
    services: Collection[str]
    started_s: float
    end_s: float
    others_asked: bool = False
    schedulers: int = 0
    answered: int = 0
    candidates: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    is_complete: bool = False
    are_records_read: bool = False

    def may_ask_others(self) -> bool:
        """Returns whether others are still to be asked for the stream."""
        return bool(self.stream_id) and not self.others_asked

    @property
    def is_settled(self) -> bool:
        """Whether nobody will know more later."""
        if not 0 < self.schedulers == self.answered:
            return False
        if len(self.candidates) > 1:
            return self.are_records_read or not self.stream_id
        return self.is_complete


class Lookup:
    """Answers and asks for the origins of streams.

    Attributes:
        table: The streams that this process knows.
        history: The software that this process has seen.
        records: Reads the records of streams in the store into the table.
        view: Has the endpoints and the members.
        peers: Sends messages to other processes.
        clock: Returns the monotonic time.
        schedulers: Returns the schedulers.
        others: Returns the other processes of the fleet.
        refresh: Reads from the store which software serves and has served;
            returns whether that succeeded.
        refresh_lock: Held during such a read.
        refreshed_s: Time at which the last such read that succeeded began.
    """

    def __init__(
        self,
        table: stream_origins.Table,
        history: software_history.History,
        records: stream_records.Reader,
        view: fleetview.View,
        peers: peer.Client,
        clock: Callable[[], float],
        *,
        schedulers: Callable[[], list[fleetview.Member]],
        others: Callable[[], list[fleetview.Member]],
        refresh: Callable[[], Awaitable[bool]],
    ) -> None:
        self.refresh = refresh
        self.refresh_lock = anyio.Lock()
        self.refreshed_s = -math.inf
        self.table = table
        self.history = history
        self.records = records
        self.view = view
        self.peers = peers
        self.clock = clock
        self.schedulers = schedulers
        self.others = others

    def start(self, server: peer.Server) -> None:
        """Registers the peer method."""
        server.on("stream_origin", ttypes.StreamOriginAsk, self.on_ask)

    async def on_ask(
        self, message: ttypes.StreamOriginAsk
    ) -> ttypes.StreamOrigin:
        """Peer method: says what this process knows of a stream."""
        return self.answer(message)

    def answer(self, message: ttypes.StreamOriginAsk) -> ttypes.StreamOrigin:
        """Returns what this process knows of a stream."""
        now = self.clock()
        origin = self.table.find(message.stream)
        answer = ttypes.StreamOrigin(
            known=origin is not None,
            recent=software_records.to_wire(
                software_history.recent(self.history, now)
            ),
            complete=software_history.is_complete(self.history, now),
        )
        if origin is not None:
            answer.group = origin.service
            answer.software = origin.software_version
            answer.number = origin.number
        return answer

    async def find(
        self, stream_id: str, services: Collection[str]
    ) -> stream_origins.Origin:
        """Returns the origin of a stream.

        Args:
            stream_id: Id of the caller's request that brought the first
                event; empty if the caller does not name it.
            services: Names of the services that may have begun it.

        Raises:
            UnavailableError: It cannot be told.
        """
        own = self.table.find(stream_id)
        if own is not None:
            return own
        started_s = anyio.current_time()
        search = _Search(stream_id, services, started_s, started_s + MAX_WAIT_S)
        while True:
            found = await self._look_once(search)
            if found is not None:
                return found
            if search.is_settled or anyio.current_time() >= search.end_s:
                logs.event(
                    "stream_origin_unknown",
                    resumes=stream_id,
                    schedulers=search.schedulers,
                    answered=search.answered,
                    candidates=search.candidates,
                    complete=search.is_complete,
                    records_read=search.are_records_read,
                )
                raise _unknown_error(is_settled=search.is_settled)
            await anyio.sleep(RETRY_PAUSE_S)

    async def _look_once(self, search: _Search) -> stream_origins.Origin | None:
        """Asks once all that may know; returns what they know, or None."""
        schedulers = self.schedulers()
        answers = await self._ask(schedulers, search.stream_id)
        is_complete = any(answer.complete for answer in answers)
        if not (is_complete or _latest(answers)):
            is_complete = await self._has_refreshed(search)
        candidates = self._candidates(search.services, answers)
        found = _latest(answers)
        if found is None and is_complete:
            found = _only_one(candidates)
        if found is None and schedulers and search.may_ask_others():
            search.others_asked = True
            others = self._others_than(schedulers)
            found = _latest(await self._ask(others, search.stream_id))
        if found is None and len(candidates) > 1:
            found = await self._find_in_records(search)
        search.schedulers = len(schedulers)
        search.answered = len(answers)
        search.candidates = sorted(candidates)
        search.is_complete = is_complete
        return found

    async def _has_refreshed(self, search: _Search) -> bool:
        """Returns whether all software that has served lately is known here.

        Nobody else says so, and this process may have been cut off or
        suspended without knowing it: only what was read from the store since
        the search began shows it.
        """
        async with self.refresh_lock:
            if self.refreshed_s < search.started_s:
                started_s = anyio.current_time()
                if not await self.refresh():
                    return False
                self.refreshed_s = started_s
        return software_history.is_complete(self.history, self.clock())

    async def _find_in_records(
        self, search: _Search
    ) -> stream_origins.Origin | None:
        """Returns what the records in the store say of a stream, or None."""
        if search.stream_id:
            search.are_records_read = False
            with anyio.move_on_at(search.end_s):
                search.are_records_read = await self.records.read()
        return self.table.find(search.stream_id)

    def _others_than(
        self, schedulers: Iterable[fleetview.Member]
    ) -> list[fleetview.Member]:
        """Returns the other processes to ask if no scheduler knows."""
        names = {member.name for member in schedulers}
        others = [m for m in self.others() if m.name not in names]
        return others[:MAX_OTHERS_ASKED]

    async def _ask(
        self, members: Iterable[fleetview.Member], stream_id: str
    ) -> list[ttypes.StreamOrigin]:
        """Returns the answers of those processes that answer in time."""
        message = ttypes.StreamOriginAsk(stream_id)
        answers: list[ttypes.StreamOrigin] = []

        async def ask(member: fleetview.Member) -> None:
            try:
                answers.append(
                    await self.peers.call(
                        member.address,
                        "stream_origin",
                        message,
                        ttypes.StreamOrigin,
                        timeout_s=ASK_TIMEOUT_S,
                    )
                )
            except errors.IbisknotError:
                # A process that is gone knows nothing.
                return

        async with anyio.create_task_group() as task_group:
            for member in members:
                task_group.start_soon(ask, member)
        return answers

    def _candidates(
        self, services: Collection[str], answers: list[ttypes.StreamOrigin]
    ) -> set[tuple[str, str]]:
        """Returns the services and versions that may have begun a stream."""
        seen = software_history.recent(self.history, self.clock())
        for answer in answers:
            seen |= software_records.from_wire(answer.recent)
        return {(service, v) for service, v in seen if service in services}


def _only_one(
    candidates: set[tuple[str, str]],
) -> stream_origins.Origin | None:
    """Returns the software of a stream if there is no other, or None."""
    if len(candidates) != 1:
        return None
    (candidate,) = candidates
    return stream_origins.Origin(*candidate, number=0)


def _unknown_error(*, is_settled: bool) -> errors.UnavailableError:
    """Returns the error of a stream that cannot go on.

    Args:
        is_settled: Whether nobody will know more later.
    """
    return errors.UnavailableError(
        "it is not known which software began the stream",
        retry_after_s=None if is_settled else UNANSWERED_RETRY_AFTER_S,
    )


def _latest(
    answers: Iterable[ttypes.StreamOrigin],
) -> stream_origins.Origin | None:
    """Returns what those who know a stream say of its latest grant."""
    known = [
        stream_origins.Origin(answer.group, answer.software, answer.number)
        for answer in answers
        if answer.known
    ]
    return max(known, key=lambda origin: origin.number, default=None)
