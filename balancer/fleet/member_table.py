"""The group's members as the page `GET /fleet` shows them."""

from __future__ import annotations

from typing import Any

from balancer.fleet.membership.swim import Address, Swim


def member_table(swim: Swim, now: int) -> list[dict[str, Any]]:
    """Return all known members except this process, sorted by name.

    A member's `age_s` is the time in seconds since its latest claim, the statement of its state, was
    accepted.
    """
    return [
        {
            "name": name,
            "address": format_address(member.claim.address),
            "state": member.claim.status.name.lower(),
            "incarnation": member.claim.incarnation,
            "age_s": round((now - member.accepted_at) / 1e6, 3),
        }
        for name, member in sorted(swim.members.items())
    ]


def format_address(address: Address) -> str:
    """Return an address in the form host:port of configurations and log lines."""
    return f"{address[0]}:{address[1]}"
