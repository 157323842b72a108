"""Publishes shares and round-trip times of zones to the policy when they have changed enough."""

from __future__ import annotations

from collections.abc import Callable, Mapping

MIN_SHARE_CHANGE = 0.005
MIN_ROUND_TRIP_CHANGE_US = 500
MIN_ROUND_TRIP_CHANGE_DIVISOR = 10  # a round trip must change by more than a tenth, too

Publish = Callable[[dict[int, float], dict[int, int]], None]


class SharePublisher:
    """Remembers what was published last.

    Args:
        publish: Takes shares and extra round-trip times in microseconds by zone number.
    """

    def __init__(self, publish: Publish) -> None:
        self.publish = publish
        self.shares: dict[str, float] = {}
        self.round_trips: dict[str, int] = {}

    def update(
        self, shares: dict[str, float], round_trips: dict[str, int], zone_numbers: Mapping[str, int]
    ) -> None:
        """Publish new values by zone name unless they differ too little from the last ones."""
        if not self.shares_changed(shares) and not self.round_trips_changed(round_trips):
            return
        self.shares, self.round_trips = shares, round_trips
        self.publish(
            {zone_numbers[zone]: share for zone, share in shares.items()},
            {zone_numbers[zone]: time for zone, time in round_trips.items()},
        )

    def shares_changed(self, shares: dict[str, float]) -> bool:
        """Return whether the zones or their order differ, or a share differs enough."""
        if list(shares) != list(self.shares):
            return True
        return any(abs(share - self.shares[zone]) > MIN_SHARE_CHANGE for zone, share in shares.items())

    def round_trips_changed(self, round_trips: dict[str, int]) -> bool:
        """Return whether a round-trip time differs enough."""
        return any(
            abs(time - self.round_trips.get(zone, 0))
            > max(MIN_ROUND_TRIP_CHANGE_US, time // MIN_ROUND_TRIP_CHANGE_DIVISOR)
            for zone, time in round_trips.items()
        )
