"""The interface of the own zone's SWIM group that membership by zone depends on."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from balancer.fleet.membership.swim import Address, Claim


class GroupMember(Protocol):
    """A member of the zone's SWIM group other than this node."""

    @property
    def claim(self) -> Claim:
        """The member's latest claim, which contains its address."""


class Group(Protocol):
    """This node's view of the zone's SWIM group."""

    @property
    def local_claim(self) -> Claim:
        """This node's own claim: its name, address and incarnation."""

    @property
    def members(self) -> Mapping[str, GroupMember]:
        """The other members of the group by name, including dead ones."""

    def alive(self) -> list[str]:
        """Return the names of the other members of the group that are considered alive."""


def address_of(group: Group, name: str) -> Address:
    """Return the address of the group's member with this name, which may be this node itself."""
    return group.local_claim.address if name == group.local_claim.name else group.members[name].claim.address
