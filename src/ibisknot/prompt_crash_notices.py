"""Shares between processes which requests and prompt parts crash endpoints.

Every process of the fleet has the same history: news goes to all others at
once, and random peers compare digests while there is anything to compare.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random

import anyio

from ibisknot import _prompt_crash_log
from ibisknot import _prompt_crash_messages
from ibisknot import crash_confirmation
from ibisknot import crash_refusals
from ibisknot import earlier_crash_notices
from ibisknot import errors
from ibisknot import isolation
from ibisknot import logs
from ibisknot import metrics
from ibisknot import peer
from ibisknot import prompt_crash_records
from ibisknot import prompt_crashes
from ibisknot import request_crashes
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

PEER_TIMEOUT_S = 0.4
COMPARE_PERIOD_S = 1.0
START_PEERS = 2
"""Peers that a process which has just started asks in each period."""
START_WAIT_S = 1.5
"""Longest time for which a process that starts holds requests back.

It sends nothing before it knows what others know of crashes.
"""
PEERS_POLL_PERIOD_S = 0.02
LOAD_RETRY_PAUSE_S = 0.5
SETTLING_S = 10.0
"""Time after which a process no longer looks for one that knows more."""
MAX_CLEARING_DELAY_S = 0.1
"""Longest delay of the news that a part is no cause.

Many processes notice it at about the same time; the first one tells all.
"""


class Notices:
    """Records crashes and completions, and exchanges them with peers.

    Attributes:
        history: What this process knows of parts of prompts.
        requests: What it knows of whole requests.
        confirmation: Finds out which broken responses were crashes.
        clearing: Completions that the peers are not told yet, by part.
        records: Keeps refusals over a restart of all processes.
        is_loaded: Whether the records were read.
        is_settled: Whether a peer that knows more than its own start has
            answered since this process started or was last out of touch.
        is_behind: Whether a peer has other knowledge.
        is_learning: Whether this process has started and does not know yet
            what others know.
        informed: Set when it does.
        started_s: Monotonic time of this process's start, or at which it was
            last out of touch.
        is_in_touch: Returns whether this process hears from the others.
    """

    def __init__(
        self,
        peers: peer.Client,
        clock: timer.Timer,
        task_group: isolation.TaskStarter,
        peer_addresses: Callable[[], list[str]],
        records: prompt_crash_records.Records,
        *,
        is_path_lost: Callable[[str], Awaitable[bool]] | None = None,
        is_in_touch: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates notices of an empty history.

        Args:
            peers: Client of the other processes.
            clock: Gives the monotonic time.
            task_group: Runs what nobody waits for.
            peer_addresses: Returns the addresses of the other processes.
            records: Keeps refusals over a restart of all processes.
            is_path_lost: Returns whether another process reaches the endpoint
                at an address while this one does not; None if that is never
                so.
            is_in_touch: Returns whether this process hears from the others.
        """
        self.confirmation = crash_confirmation.Confirmation(
            clock.now, task_group, self._record_crash, is_path_lost
        )
        self.is_in_touch = is_in_touch
        self.peers = peers
        self.clock = clock
        self.task_group = task_group
        self.peer_addresses = peer_addresses
        self.rng = random.Random()
        self.history = prompt_crashes.History()
        self.requests = request_crashes.History()
        self.clearing: dict[int, float] = {}
        self.records = records
        self.is_loaded = False
        self.is_settled = False
        self.is_behind = False
        self.is_learning = False
        self.informed = anyio.Event()
        self.started_s = clock.now()

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods, reads the records, and compares."""
        server.on("prompt_crash_news", ttypes.PromptCrashNews, self.on_news)
        server.on("prompt_crash_ask", ttypes.PromptCrashAsk, self.on_request)
        self.clock.subscribe("prompt_crashes", COMPARE_PERIOD_S, self.compare)
        self.is_learning = True
        self.task_group.start_soon(self._learn)

    async def wait_until_informed(self) -> None:
        """Waits until this process knows what others know, for a while."""
        if self.is_learning:
            await self.informed.wait()

    def is_request_refused(self, fingerprint: int) -> bool:
        """Returns whether the request with a fingerprint is refused."""
        return request_crashes.is_refused(
            self.requests, self.clock.now(), fingerprint
        )

    def refused_parts(
        self, parts: tuple[int, ...]
    ) -> prompt_crashes.Parts | None:
        """Returns the parts for which a request is refused, or None."""
        return prompt_crashes.find_refusal(
            self.history, self.clock.now(), parts
        )

    async def _record_crash(
        self,
        key: str,
        occurred_s: float,
        candidates: dict[int, crash_confirmation.Candidate],
    ) -> None:
        """Records a crash that was confirmed, and tells the others.

        Args:
            key: Name and start of the endpoint.
            occurred_s: Monotonic time of the crash.
            candidates: The requests that were in progress, by fingerprint.
        """
        now = self.clock.now()
        before = self._subjects()
        refused = prompt_crashes.record_crash(
            self.history,
            now,
            key,
            occurred_s,
            {f: c.parts for f, c in candidates.items() if c.parts},
        )
        for fingerprint in candidates:
            self._record_request_crash(key, occurred_s, fingerprint, "crashes")
        self._write_changes(before)
        crash = self.history.crashes.get(key)
        logs.event(
            "endpoint_crashed",
            level="warning",
            endpoint=key,
            candidates=len(candidates),
            suspected=len(crash.candidates) if crash else 0,
            crashes=len(self.history.crashes),
        )
        _prompt_crash_log.refused(self.history, now, refused, "crashes")
        news = _prompt_crash_messages.news(
            self.history,
            now,
            endpoints=[key] if crash else [],
            refusals=refused,
        )
        news.crashes += _prompt_crash_messages.request_crashes_of(
            self.requests, now, candidates
        )
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._tell_all, news)
            task_group.start_soon(
                earlier_crash_notices.tell,
                self.peers,
                self.peer_addresses(),
                key,
                candidates.values(),
            )

    def _record_request_crash(
        self, endpoint: str, occurred_s: float, fingerprint: int, cause: str
    ) -> None:
        """Records a crash against a request; logs if it is refused now."""
        now = self.clock.now()
        if request_crashes.record_crash(
            self.requests, now, endpoint, occurred_s, fingerprint
        ):
            metrics.REQUESTS_REFUSED.inc({})
            logs.event(
                "request_refused",
                level="warning",
                fingerprint=f"{fingerprint:015x}",
                crashes=len(self.requests.crashes[fingerprint]),
                cause=cause,
            )

    def _subjects(self) -> set[crash_refusals.Subject]:
        """Returns the parts and requests that are refused."""
        return crash_refusals.subjects(
            self.history, self.requests, self.clock.now()
        )

    def _find_refusal(
        self, subject: crash_refusals.Subject
    ) -> prompt_crashes.Refusal | None:
        """Returns the refusal of parts or of a request, or None."""
        return crash_refusals.find(
            self.history, self.requests, self.clock.now(), subject
        )

    def _write_changes(self, before: set[crash_refusals.Subject]) -> None:
        """Writes what this process has changed to the store.

        Args:
            before: What was refused before the change.
        """
        after = self._subjects()
        if after != before:
            self.task_group.start_soon(
                self.records.replace,
                self._find_refusal,
                before - after,
                after - before,
            )

    def record_completion(
        self, parts: tuple[int, ...], fingerprint: int | None = None
    ) -> None:
        """Records that a request was answered.

        Args:
            parts: Hashes of the parts of its prompt.
            fingerprint: What it has in common with its resends, if known.
        """
        now = self.clock.now()
        has_evidence = fingerprint in self.requests.crashes
        if not has_evidence and self.history.suspects.isdisjoint(parts):
            prompt_crashes.record_completion(self.history, now, parts)
            return
        before = self._subjects()
        cleared = prompt_crashes.record_completion(self.history, now, parts)
        if fingerprint is not None:
            count = request_crashes.record_completion(
                self.requests, now, fingerprint
            )
            # One crash alone is no reason to tell all.
            if count > 1 or (count and cleared):
                cleared.append(fingerprint)
        self._write_changes(before)
        if not cleared:
            return
        if not self.clearing:
            self.task_group.start_soon(self._tell_cleared)
        self.clearing.update(dict.fromkeys(cleared, now))

    async def _tell_cleared(self) -> None:
        """Tells the peers of completions that no other process has told."""
        await anyio.sleep(self.rng.uniform(0.0, MAX_CLEARING_DELAY_S))
        completions = self.clearing
        self.clearing = {}
        if not completions:
            return
        logs.event(
            "prompt_parts_cleared", parts=_prompt_crash_log.parts(completions)
        )
        await self._tell_all(
            _prompt_crash_messages.news(
                self.history, self.clock.now(), completions=completions
            )
        )

    async def _tell_all(self, news: ttypes.PromptCrashNews) -> None:
        """Sends news to all peers and adopts what they know better."""
        objections: list[ttypes.PromptCrashNews] = []

        async def tell(address: str) -> None:
            answer = await self._call(address, "prompt_crash_news", news)
            if answer is not None and answer.completions:
                objections.append(answer)

        async with anyio.create_task_group() as task_group:
            for address in self.peer_addresses():
                task_group.start_soon(tell, address)
        if objections:
            # All objections are about the same parts.
            objection = objections[0]
            before = self._subjects()
            self._adopt(objection, "objection")
            self._write_changes(before)
            await self._tell_all(objection)

    async def _call(
        self, address: str, method: str, message: object
    ) -> ttypes.PromptCrashNews | None:
        try:
            return await self.peers.call(
                address,
                method,
                message,
                ttypes.PromptCrashNews,
                timeout_s=PEER_TIMEOUT_S,
            )
        except errors.IbisknotError:
            # A peer that was not reached hears it from the comparisons.
            return None

    async def on_news(
        self, news: ttypes.PromptCrashNews
    ) -> ttypes.PromptCrashNews:
        """Peer method: adopts news; returns completions that contradict it."""
        objections = self._adopt(news, "peer")
        return _prompt_crash_messages.news(
            self.history, self.clock.now(), completions=objections
        )

    async def on_request(
        self, request: ttypes.PromptCrashAsk
    ) -> ttypes.PromptCrashNews:
        """Peer method: returns the history, or nothing if it is the same."""
        now = self.clock.now()
        if request.digest == self._digest():
            answer = _prompt_crash_messages.news(self.history, now)
        else:
            # The peer may know what this process has missed.
            self.is_behind = True
            answer = _prompt_crash_messages.whole_history(self.history, now)
            answer.crashes += _prompt_crash_messages.request_crashes_of(
                self.requests, now, self.requests.crashes
            )
            answer.completions += [
                ttypes.PartCompletion(part=f, age_s=now - completed_s)
                for f, completed_s in self.requests.completed_s.items()
            ]
        answer.is_settled = self.is_settled
        return answer

    def _digest(self) -> int:
        """Returns a hash of all that this process knows of crashes."""
        return prompt_crashes.digest(self.history) ^ request_crashes.digest(
            self.requests, self.clock.now()
        )

    def _adopt(
        self, news: ttypes.PromptCrashNews, cause: str
    ) -> dict[int, float]:
        """Adopts news.

        Returns:
            The time of the last completion, by part, of refused parts that
            are known here.
        """
        now = self.clock.now()
        known = set(self.history.refusals)
        for completion in news.completions:
            completed_s = now - completion.age_s
            self.clearing.pop(completion.part, None)
            prompt_crashes.adopt_completion(
                self.history, now, completion.part, completed_s
            )
            request_crashes.record_completion(
                self.requests, completed_s, completion.part
            )
        objections: dict[int, float] = {}
        for message in news.refusals:
            refusal = _prompt_crash_messages.to_refusal(message, now)
            parts = frozenset(message.parts)
            objections |= prompt_crashes.adopt_refusal(
                self.history, now, parts, refusal
            )
        for crash in filter(
            _prompt_crash_messages.is_about_parts, news.crashes
        ):
            prompt_crashes.record_crash(
                self.history,
                now,
                crash.endpoint,
                now - crash.age_s,
                {c.fingerprint: c.parts for c in crash.candidates},
            )
        for evidence in _prompt_crash_messages.request_evidence(news, now):
            self._record_request_crash(*evidence, cause)
        refused = [p for p in self.history.refusals if p not in known]
        _prompt_crash_log.refused(self.history, now, refused, cause)
        return objections

    async def compare(self, now: float) -> None:
        """Timer callback: adopts what a random peer knows besides.

        A process that has just started asks until a settled peer answers.
        """
        prompt_crashes.expire(self.history, now)
        request_crashes.expire(self.requests, now)
        if not self.is_in_touch():
            # What the others have said meanwhile may not have come here.
            self.is_settled = False
            self.started_s = now
        if now - self.started_s >= SETTLING_S:
            self.is_settled = True
        async with anyio.create_task_group() as task_group:
            if not self.is_loaded:
                task_group.start_soon(self._load)
            for address in self._peers_to_ask():
                task_group.start_soon(self._ask, address)

    def _peers_to_ask(self) -> list[str]:
        """Returns random peers, or none while there is nothing to compare."""
        has_news = (
            self.history.crashes
            or self.history.refusals
            or self.requests.crashes
            or self.is_behind
        )
        if self.is_settled and not has_news:
            return []
        self.is_behind = False
        addresses = self.peer_addresses()
        count = 1 if self.is_settled else START_PEERS
        return self.rng.sample(addresses, min(count, len(addresses)))

    async def _learn(self) -> None:
        """Learns what the store and peers know after the start."""
        with anyio.move_on_after(START_WAIT_S):
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._load_at_start)
                while not self.peer_addresses():
                    await anyio.sleep(PEERS_POLL_PERIOD_S)
                for address in self._peers_to_ask():
                    task_group.start_soon(self._ask, address)
        self._end_learning()

    async def _load_at_start(self) -> None:
        """Adopts the refusals in the store; tries again for a while."""
        while not self.is_loaded:
            await self._load()
            await anyio.sleep(0.0 if self.is_loaded else LOAD_RETRY_PAUSE_S)

    def _end_learning(self) -> None:
        if self.is_learning:
            self.is_learning = False
            self.informed.set()
            logs.event(
                "crashes_known", settled=self.is_settled, loaded=self.is_loaded
            )

    async def _load(self) -> None:
        """Adopts the refusals in the store; tries again until it answers."""
        known = set(self.history.refusals)
        try:
            found = await self.records.load()
        except errors.KeyValueError as error:
            # The next comparison tries again.
            logs.event(
                "refusals_not_read", level="warning", cause=error.message
            )
            return
        self.is_loaded = True
        now = self.clock.now()
        for subject, refusal in found:
            if isinstance(subject, int):
                request_crashes.adopt_refusal(
                    self.requests, now, subject, refusal.crashed_s
                )
            else:
                prompt_crashes.adopt_refusal(
                    self.history, now, subject, refusal
                )
        refused = [p for p in self.history.refusals if p not in known]
        _prompt_crash_log.refused(self.history, now, refused, "store")

    async def _ask(self, address: str) -> None:
        """Adopts a peer's history if it differs."""
        request = ttypes.PromptCrashAsk(digest=self._digest())
        answer = await self._call(address, "prompt_crash_ask", request)
        if answer is None:
            return
        self.is_settled = self.is_settled or bool(answer.is_settled)
        objections = self._adopt(answer, "comparison")
        if self.is_settled:
            self._end_learning()
        if objections:
            news = _prompt_crash_messages.news(
                self.history, self.clock.now(), completions=objections
            )
            await self._tell_all(news)
