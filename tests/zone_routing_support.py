"""Zone routers for tests, and simulated calls through them."""

from random import Random

from support import SEC

from balancer.fleet.zone_routing.router import ListedServer, ZoneRouter
from balancer.fleet.zone_routing.settings import ZoneSettings

SETTINGS = ZoneSettings()
BASELINE_LATENCY_US = 50_000
FIRST_SERVER = {zone: 100 * (i + 1) for i, zone in enumerate("abcdef")}


def make_router(
    home: str = "a",
    settings: ZoneSettings = SETTINGS,
    rank: float = 0.0,
    router_class: type[ZoneRouter] = ZoneRouter,
    **counts: int,
) -> ZoneRouter:
    """Return a router of zone `home` with `counts` servers per zone, numbered from 100, 200, 300, ..."""
    router = router_class(home, settings, 10 * SEC, 0.2, 0, lambda: rank, lambda line: None)
    router.update_servers(
        {
            FIRST_SERVER[zone] + i: ListedServer(zone, 0)
            for zone, count in counts.items()
            for i in range(count)
        }
    )
    return router


def servers_in(router: ZoneRouter, zone: str) -> list[int]:
    """Return the numbers of the servers in a zone."""
    return [number for number, server in router.servers.items() if server.zone == zone]


# ---- Evacuation and recovery ------------------------------------------------------------------------------


def run_calls(
    router: ZoneRouter,
    seconds: int,
    bad_zones: str = "",
    calls: int = 40,
    failure_share: float = 0.5,
    slowdown: float = 1.0,
    bad_servers: int | None = None,
) -> set[str]:
    """Simulate calls according to the router's shares, with a tick every half second.

    In `bad_zones` the first `bad_servers` servers, or all, fail a share of their calls and are slower.

    Args:
        router: Selects the zones and gets the outcomes.
        seconds: Duration of the simulation.
        bad_zones: The letters of the zones with failures.
        calls: Number of calls per second.
        failure_share: Share of the calls to bad servers that fail.
        slowdown: Factor on the latency of bad servers.
        bad_servers: Number of bad servers in each bad zone; all if None.

    Returns:
        The zones that were called.
    """
    now, rng = router.next_evaluation_at, Random(1)
    called: set[str] = set()
    for _ in range(int(seconds * 2)):
        shares = router.shares(now)
        for _ in range(calls // 2):
            zone = rng.choices([*shares], [*shares.values()])[0]
            servers = servers_in(router, zone)
            index = rng.randrange(len(servers))
            is_bad = zone in bad_zones and (bad_servers is None or index < bad_servers)
            called.add(zone)
            ok = not (is_bad and rng.random() < failure_share)
            latency = int(BASELINE_LATENCY_US * (slowdown if is_bad else 1))
            router.record_outcome(now, servers[index], ok, latency)
        now = router.next_evaluation_at
        router.tick(now)
    return called


def status_letters(router: ZoneRouter) -> str:
    """Return the first letter of each zone's status on the status page: in, leaving, out or returning."""
    return "".join(
        router.states.get_or_create(zone).status.value[0] for zone in sorted(router.states.by_zone)
    )
