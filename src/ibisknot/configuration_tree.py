"""Tree of VMs that carries the configuration from the key-value service.

The active VMs are ranked by rendezvous hashing. The first `WATCHER_COUNT` watch
the service. Each other VM has two parents of lower rank, so the loss of one
parent causes no delay, and the work of a VM does not grow with the fleet.
"""

import xxhash

WATCHER_COUNT = 3
FANOUT = 8
"""Number of VMs that have the same first parent."""
PARENT_COUNT = 2


def rank_vms(names: list[str]) -> list[str]:
    """Returns the names of VMs in order of rank.

    >>> sorted(rank_vms(["b", "a"]))
    ['a', 'b']
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"config/{name}".encode()),
    )


def is_watcher(ranked: list[str], vm_name: str) -> bool:
    """Returns whether a VM watches the key-value service."""
    return vm_name in ranked[:WATCHER_COUNT]


def _parent_ranks(rank: int) -> list[int]:
    """Returns the ranks of a VM's parents, none for a watcher."""
    if rank < WATCHER_COUNT:
        return []
    first = (rank - WATCHER_COUNT) // FANOUT
    # The second parent is another VM of the same level or a lower one.
    second = first - 1 if first > 0 else WATCHER_COUNT - 1
    return [first, second][:PARENT_COUNT]


def depth(ranked: list[str], vm_name: str) -> int:
    """Returns how many VMs a confirmation passes before it reaches a VM.

    >>> names = [f"vm-{n}" for n in range(420)]
    >>> ranked = rank_vms(names)
    >>> [depth(ranked, ranked[rank]) for rank in (0, 3, 27, 419)]
    [0, 1, 2, 3]
    """
    rank = ranked.index(vm_name) if vm_name in ranked else len(ranked)
    levels = 0
    while rank >= WATCHER_COUNT:
        rank = (rank - WATCHER_COUNT) // FANOUT
        levels += 1
    return levels


def parents(ranked: list[str], vm_name: str) -> list[str]:
    """Returns the VMs that a VM receives changes from.

    >>> names = [f"vm-{n}" for n in range(9)]
    >>> ranked = rank_vms(names)
    >>> set(parents(ranked, ranked[8])) <= set(ranked[:3])
    True
    """
    if vm_name not in ranked:
        return ranked[:PARENT_COUNT]
    ranks = _parent_ranks(ranked.index(vm_name))
    return [ranked[rank] for rank in ranks]


def children(ranked: list[str], vm_name: str) -> list[str]:
    """Returns the VMs that a VM forwards changes to.

    >>> ranked = rank_vms([f"vm-{n}" for n in range(9)])
    >>> children(ranked, ranked[8])
    []
    """
    if vm_name not in ranked:
        return []
    rank = ranked.index(vm_name)
    names = []
    for other_rank in range(WATCHER_COUNT, len(ranked)):
        if rank in _parent_ranks(other_rank):
            names.append(ranked[other_rank])
    return names
