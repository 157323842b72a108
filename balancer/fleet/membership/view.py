"""What an instance holds true of the group, indexed so that no operation of the protocol walks all of it."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from dataclasses import dataclass
from hashlib import blake2b

from balancer.fleet.membership.claims import Address, Claim, Status

BUCKETS = 32  # a view's digest has a number for each
ALL_BUCKETS = (1 << BUCKETS) - 1
CLAIM_OVERHEAD = 18  # bytes of a claim beside the name and the host: lengths, port, status, incarnation


@dataclass
class Member:
    """What this instance holds true of another."""

    claim: Claim
    since: int  # of its present status
    bucket: int
    mark: int  # of the name and the incarnation, for the digest

    @property
    def gone(self) -> bool:
        return self.claim.status >= Status.DEAD


class View:
    """This instance's own claim and what it holds of the others.

    The digest covers the living members and their incarnations. A suspicion doesn't change it, since it
    comes and goes while it is being passed on; nor does a member that is gone, as each instance forgets it at
    a time of its own.
    """

    def __init__(self, me: Claim) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self.living: list[str] = []  # names of the members that aren't gone, sorted
        self.by_address: dict[Address, str] = {}  # the living
        self.order: list[tuple[int, str]] = []  # bucket and name of each member, sorted
        self.digests = [0] * BUCKETS

    def put(self, claim: Claim, now: int) -> None:
        """Holds a claim true in place of what was held of its member."""
        held = self.members.get(claim.name)
        if held is None:
            member = Member(claim, now, bucket_of(claim.name), fingerprint_of(claim))
            insort(self.order, (member.bucket, claim.name))
        else:
            same = claim.incarnation == held.claim.incarnation
            member = Member(claim, now, held.bucket, held.mark if same else fingerprint_of(claim))
        self.members[claim.name] = member
        was_living = held is not None and not held.gone
        if held is not None and was_living:
            self.remove_from_indexes(held)
        if not member.gone:
            self.add_to_indexes(member)
        if was_living and member.gone:
            del self.living[bisect_left(self.living, claim.name)]
        elif not was_living and not member.gone:
            insort(self.living, claim.name)

    def add_to_indexes(self, member: Member) -> None:
        self.digests[member.bucket] ^= member.mark
        self.by_address[member.claim.address] = member.claim.name

    def remove_from_indexes(self, member: Member) -> None:
        self.digests[member.bucket] ^= member.mark
        if self.by_address.get(member.claim.address) == member.claim.name:
            del self.by_address[member.claim.address]

    def forget(self, name: str) -> Claim:
        """Removes a member; returns what was held of it last."""
        member = self.members.pop(name)
        del self.order[bisect_left(self.order, (member.bucket, name))]
        return member.claim

    def digest(self) -> tuple[int, ...]:
        """A number for each bucket: equal in two views that hold the same members alive, themselves
        included."""
        digests = list(self.digests)
        digests[bucket_of(self.me.name)] ^= fingerprint_of(self.me)
        return tuple(digests)

    def differing(self, digest: tuple[int, ...]) -> int:
        """The buckets, as a bit mask, in which another's digest differs from this view's."""
        pairs = zip(self.digest(), digest, strict=True)
        return sum(1 << bucket for bucket, (mine, other) in enumerate(pairs) if mine != other)

    def page(self, buckets: int, after: str, room: int) -> tuple[list[Claim], bool]:
        """Claims of the members in these buckets that follow the one named, as many as go into `room` bytes,
        and whether they are the last. The order is the same in each view, so another may give the next page.
        """
        claims: list[Claim] = []
        place = bisect_right(self.order, sort_key(after))
        while place < len(self.order):
            bucket, name = self.order[place]
            if not buckets >> bucket & 1:
                place = bisect_left(self.order, (bucket + 1, ""))
                continue
            claim = self.members[name].claim
            room -= claim_size(claim)
            if room < 0:
                return claims, False
            claims.append(claim)
            place += 1
        return claims, True

    def wrapping_page(self, after: str, room: int) -> list[Claim]:
        """A page of all members that goes on at the first after the last: in a small group it holds all."""
        claims, last = self.page(ALL_BUCKETS, after, room)
        if last:
            room -= sum(map(claim_size, claims))
            end = sort_key(after)
            first, _ = self.page(ALL_BUCKETS, "", room)
            claims += [claim for claim in first if sort_key(claim.name) <= end]
        return claims


def bucket_of(name: str) -> int:
    """The bucket that a member lies in; the same everywhere."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def sort_key(name: str) -> tuple[int, str]:
    """What members are ordered by; no name is before all."""
    return (bucket_of(name), name) if name else (-1, "")


def fingerprint_of(claim: Claim) -> int:
    """What a living member adds to its bucket's digest."""
    return int.from_bytes(blake2b(f"{claim.incarnation} {claim.name}".encode(), digest_size=4).digest())


def claim_size(claim: Claim) -> int:
    """Bytes that a claim takes up in a datagram at most."""
    return len(claim.name.encode()) + len(claim.address[0].encode()) + CLAIM_OVERHEAD
