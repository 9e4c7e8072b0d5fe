"""Keeps the evacuated data centres of a view up to date."""

from collections.abc import Callable

from ibisknot import fleetview
from ibisknot import logs
from ibisknot import pairs
from ibisknot.evacuation import known


class Follower:
    """Adopts the operator's orders from the store and from peers.

    Attributes:
        view: The view that is kept up to date.
        prefix: Prefix of the operator's orders in the store, which the name
            of a data centre follows; empty if there are none.
        source: Name of the store as a source, for the log.
        on_changed: Called with the source after the evacuated data centres
            have changed.
    """

    def __init__(
        self,
        view: fleetview.View,
        prefix: str,
        source: str,
        on_changed: Callable[[str], None],
    ) -> None:
        self.view = view
        self.prefix = prefix
        self.source = source
        self.on_changed = on_changed

    def data_centre(self, key: str) -> str:
        """Returns the data centre that an order is for; empty if it is none."""
        if not self.prefix or not key.startswith(self.prefix):
            return ""
        return key.removeprefix(self.prefix)

    def on_change(self, change: pairs.Change) -> bool:
        """Adopts a change in the store; returns whether it is of an order."""
        name = self.data_centre(change.key)
        if not name:
            return False
        self._adopt(
            known.after_change(
                self.view.evacuations,
                name,
                change.revision,
                is_evacuated=change.value is not None,
            ),
            self.source,
        )
        return True

    def on_listing(self, listing: pairs.Listing) -> None:
        """Adopts a read of all the operator's keys."""
        names = [self.data_centre(pair.key) for pair in listing.pairs]
        self._adopt(
            known.after_listing(
                self.view.evacuations, filter(None, names), listing.revision
            ),
            self.source,
        )

    def on_update(self, revision: int, names: list[str], sender: str) -> None:
        """Adopts what a peer says."""
        self._adopt(
            known.after_update(self.view.evacuations, names, revision), sender
        )

    def _adopt(self, adopted: known.Known, source: str) -> None:
        """Replaces what is known; logs and reports a change of the set."""
        before = self.view.evacuations
        self.view.evacuations = adopted
        if adopted.data_centres == before.data_centres:
            return
        logs.event(
            "evacuations_changed",
            data_centres=sorted(adopted.data_centres),
            before=sorted(before.data_centres),
            revision=adopted.revision,
            source=source,
        )
        self._log_unlisted(adopted.data_centres - before.data_centres)
        self.on_changed(source)

    def _log_unlisted(self, names: frozenset[str]) -> None:
        """Logs evacuated data centres in which nothing is known to run.

        They are kept, because endpoints may be added there later.
        """
        view = self.view
        listed = {e.data_centre for e in view.endpoints.values()}
        if not listed:
            return
        listed |= {m.data_centre for m in view.members.values()}
        for name in sorted(names - listed):
            logs.event(
                "evacuated_data_centre_unknown",
                level="warning",
                data_centre=name,
            )
