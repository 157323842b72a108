"""Publication of zones' shares and round-trip times to the policy when they change significantly.

A zone's share is the part of this node's calls that are sent to the zone.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

MIN_SHARE_CHANGE = 0.005
MIN_ROUND_TRIP_CHANGE_US = 500
# A round trip must also change by more than its length divided by this number.
MIN_ROUND_TRIP_CHANGE_DIVISOR = 10

Publish = Callable[[dict[int, float], dict[int, int]], None]


class SharePublisher:
    """Publication of shares and round-trip times, with the last published values.

    Args:
        publish: Callback for shares and extra round-trip times in microseconds, both by zone number.
    """

    def __init__(self, publish: Publish) -> None:
        self.publish = publish
        self.shares: dict[str, float] = {}
        self.round_trips: dict[str, int] = {}

    def update(
        self, shares: dict[str, float], round_trips: dict[str, int], zone_numbers: Mapping[str, int]
    ) -> None:
        """Publish new values, given by zone name, if they differ enough from the last published ones."""
        if not self.shares_changed(shares) and not self.round_trips_changed(round_trips):
            return
        self.shares, self.round_trips = shares, round_trips
        self.publish(
            {zone_numbers[zone]: share for zone, share in shares.items()},
            {zone_numbers[zone]: round_trip for zone, round_trip in round_trips.items()},
        )

    def shares_changed(self, shares: dict[str, float]) -> bool:
        """Return whether a share, the set of zones or their order changed enough to be published."""
        if list(shares) != list(self.shares):
            return True
        return any(abs(share - self.shares[zone]) > MIN_SHARE_CHANGE for zone, share in shares.items())

    def round_trips_changed(self, round_trips: dict[str, int]) -> bool:
        """Return whether a round-trip time changed enough since the last publication."""
        return any(
            abs(round_trip - self.round_trips.get(zone, 0))
            > max(MIN_ROUND_TRIP_CHANGE_US, round_trip // MIN_ROUND_TRIP_CHANGE_DIVISOR)
            for zone, round_trip in round_trips.items()
        )
