"""Jobs whose end a worker has heard of, so that no older record starts them.

A worker may read or write a job's record just before its end and get the answer
after the news of it.
"""

import collections

MAX_JOBS = 4096


class ClosedJobs:
    """The ids of the jobs that have ended last.

    Attributes:
        ids: The ids, in the order in which their ends were recorded.

    >>> closed = ClosedJobs()
    >>> closed.add("j")
    >>> "j" in closed, "k" in closed
    (True, False)
    """

    def __init__(self) -> None:
        self.ids: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self.ids

    def add(self, job_id: str) -> None:
        """Records an end; forgets the oldest ones over the limit."""
        self.ids[job_id] = None
        if len(self.ids) > MAX_JOBS:
            self.ids.popitem(last=False)
