"""Tests of the baselines, of the published filter's controller, and of policies of other revisions."""

import subprocess
from random import Random

import pytest
from support import BASE_SETTINGS, SEC, Recorder

from balancer.policy import gradient
from balancer.policy.interface import ListKind, Outcome, ServerEntry, State
from workbench.baselines import revisions
from workbench.baselines.gradient import GradientController, GradientSettings, PublishedGradient
from workbench.baselines.static import RandomChoice, RoundRobin, TwoChoices
from workbench.scenario.load import draw, load
from workbench.simulator.play import play

MS = 1000  # A millisecond, in microseconds.


def controller_with_min_rtt(latency=10 * MS):
    """Return a controller that has measured its minRTT and whose first window starts at 0."""
    controller = GradientController(GradientSettings(), Random(1), 0)
    for _ in range(50):
        controller.sample(0, latency)
    return controller


def test_limit_is_3_while_measuring_then_grows_by_square_root():
    """Three requests are admitted during the minRTT calculation; with steady latency the limit then grows."""
    controller = GradientController(GradientSettings(), Random(1), 0)
    admitted = 0
    while controller.admits(0):
        controller.in_flight += 1
        admitted += 1
    assert admitted == 3 and controller.min_rtt_calculation_active and controller.rq_blocked == 1
    controller = controller_with_min_rtt()
    assert controller.min_rtt == 10 * MS and not controller.min_rtt_calculation_active
    for window in range(1, 4):
        controller.sample(window * 100 * MS, 10 * MS)
    assert controller.gradient == 1.25 and controller.concurrency_limit == 13  # The limits are 3, 5, 8, 13.


@pytest.mark.parametrize(
    ("sample_ms", "expected_gradient"), [(10, 1.25), (12.5, 1.0), (25, 0.5), (100, 0.5), (1, 2.0)], ids=str
)
def test_gradient_is_min_rtt_with_buffer_over_sample_rtt(sample_ms, expected_gradient):
    controller = controller_with_min_rtt()
    controller.sample(100 * MS, int(sample_ms * MS))
    assert controller.gradient == pytest.approx(expected_gradient)


def test_five_windows_at_minimum_limit_recalculate_min_rtt():
    """A window without samples leaves the limit unchanged and doesn't count."""
    controller = controller_with_min_rtt()
    controller.close_window(10 * SEC)
    assert controller.concurrency_limit == 3
    for window in range(101, 106):
        assert not controller.min_rtt_calculation_active
        controller.sample(window * 100 * MS, 1000 * MS)
    assert controller.min_rtt_calculation_active


def test_min_rtt_is_recalculated_each_minute_with_jitter():
    controller = controller_with_min_rtt()
    assert 60 * SEC <= controller.next_min_rtt <= 66 * SEC
    for window in range(1, 70 * 10):
        controller.sample(window * 100 * MS, 10 * MS)
        if controller.min_rtt_calculation_active:
            break
    assert 60 <= window / 10 <= 66.2 and controller.concurrency_limit == 3


def send_requests(policy_class, request_count=40, server_count=4, **changes):
    """Return a policy that has received requests, one per microsecond, and the recorder of its actions."""
    recorder = Recorder()
    policy = policy_class(BASE_SETTINGS, 1, recorder)
    policy.start(0)
    policy.server_list(0, ListKind.CACHED, [ServerEntry(i) for i in range(server_count)])
    for request in range(request_count):
        policy.request(request, request, 0, 0, 3 * SEC, False)
    return policy, recorder


def test_static_baselines_spread_load_and_filter_rejects_at_limit():
    servers = [c[2] for c in send_requests(RoundRobin)[1].take("send")]
    assert all(servers.count(s) == 10 for s in range(4)) and servers[:4] == servers[4:8]
    servers = [c[2] for c in send_requests(TwoChoices)[1].take("send")]
    assert max(servers.count(s) for s in range(4)) <= 12  # The attempts in flight keep the load even.
    policy, recorder = send_requests(PublishedGradient, 5)
    assert [c[0] for c in recorder.take()] == ["send"] * 3 + ["reject"] * 2


@pytest.mark.parametrize(
    ("request_class", "outcome", "action"),
    [
        (0, Outcome.TIMEOUT, "send"),
        (0, Outcome.REJECTED, "send"),
        (1, Outcome.REJECTED, "send"),
        (1, Outcome.TIMEOUT, "send"),  # A server of the same cell discards the repeat.
        (2, Outcome.REJECTED, "send"),
        (2, Outcome.TIMEOUT, "fail"),
    ],
)
def test_baseline_retries_only_if_the_request_effect_allows_it(request_class, outcome, action):
    """A request that must not run twice is retried only if the first server proves that it did not run it."""
    recorder = Recorder()
    policy = RandomChoice(BASE_SETTINGS, 1, recorder)
    policy.server_list(
        0, ListKind.FULL, [ServerEntry(1, cell=1), ServerEntry(2, cell=1), ServerEntry(3, cell=2)]
    )
    policy.server_list(0, ListKind.CHANGES, [ServerEntry(3, State.GONE)] if request_class != 1 else [])
    policy.request(0, 7, request_class, 0, 3 * SEC, False)
    ((_, _, first, _),) = recorder.take("send")
    policy.outcome(1000, 7, 0, first, outcome, 1000, False, ())
    (call,) = recorder.take("send", "fail", "reject")
    if request_class == 1 and outcome == Outcome.TIMEOUT and first == 3:
        assert call[:3] == ("send", 7, 3)
        return
    assert call[0] == action and (action != "send" or call[2] != first)


def test_balancer_is_better_than_random_and_worse_than_oracle():
    """The load is 70% of the capacity, and one of six servers becomes slower by a factor of 6."""
    goals = {}
    for policy in ("true-state", "module", "random"):
        overrides = ["length_s=15", "servers=6", "load.fraction=0.7", "fault[0].at_s=3", "fault[1].at_s=60"]
        scenario = draw(
            load("trouble", [*overrides, "fault[2].at_s=60", "fault[0].part=0.2", "fault[0].factor=6"]), 2
        )
        goals[policy] = play(scenario, policy).result["goal"]
    assert goals["true-state"] > goals["module"] > goals["random"]


def commit_files(folder, files):
    """Create a repository with one commit of these files and return the commit's hash."""
    for path, text in files.items():
        (folder / path).parent.mkdir(parents=True, exist_ok=True)
        (folder / path).write_text(text)
    git = ["git", "-c", "user.name=test", "-c", "user.email=test@example.org"]
    for command in (["init", "-q"], ["add", "."], ["commit", "-q", "-m", "all"]):
        subprocess.run([*git, *command], cwd=folder, check=True)
    return subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=folder, check=True, capture_output=True, text=True
    ).stdout.strip()


INTERFACE = "class Effect: name = 'of the revision'\n"
BALANCER = "class Balancer:\n    def __init__(self, *args): self.loaded = WAIT, Effect.name\n"


def constants_source(interface):
    """Return the source of a module that imports an interface and defines a constant."""
    return f"from {interface} import Effect\nWAIT = 3\n"


def policy_package(node_package, interface):
    """Return the files of a policy package that imports an interface by its full name."""
    return {
        f"{node_package}/policy/__init__.py": f"from {node_package}.policy.balancer import Balancer\n",
        f"{node_package}/policy/balancer.py": f"from {node_package}.policy.times import WAIT, Effect\n"
        + BALANCER,
        f"{node_package}/policy/times.py": constants_source(interface),
        f"{node_package}/policy/unused.txt": "not a module\n",
    }


LAYOUTS = {
    "single module": {
        "brackenladder/balance.py": constants_source("brackenladder.interface") + BALANCER,
        "brackenladder/interface.py": INTERFACE,
    },
    "package named brackenladder": {
        **policy_package("brackenladder", "brackenladder.interface"),
        "brackenladder/interface.py": INTERFACE,
    },
    "package with interface beside it": {
        **policy_package("balancer", "balancer.interface"),
        "balancer/interface.py": INTERFACE,
    },
    "package": {
        **policy_package("balancer", "balancer.policy.interface"),
        "balancer/policy/interface.py": INTERFACE,
    },
}


@pytest.mark.parametrize("files", LAYOUTS.values(), ids=LAYOUTS)
def test_policy_of_revision_is_loaded_from_every_layout(files, tmp_path, monkeypatch):
    """A constant that one module defines and another one imports is set in both."""
    commit = commit_files(tmp_path, files)
    monkeypatch.setattr(revisions, "ROOT", tmp_path)
    unchanged = revisions.load_policy_factory(commit, ())(BASE_SETTINGS, 1, Recorder(), None)
    changed = revisions.load_policy_factory(commit, (("WAIT", 5.0),))(BASE_SETTINGS, 1, Recorder(), None)
    assert unchanged.loaded == (3, "of the revision") and changed.loaded == (5, "of the revision")
    with pytest.raises(revisions.RevisionError, match="policy.WAIT_NONE: no such constant"):
        revisions.load_policy_factory(commit, (("WAIT_NONE", 5.0),))


def test_revision_without_policy_is_an_error(tmp_path, monkeypatch):
    commit = commit_files(tmp_path, {"README.md": "nothing yet\n"})
    monkeypatch.setattr(revisions, "ROOT", tmp_path)
    with pytest.raises(revisions.RevisionError, match="the revision has no policy"):
        revisions.load_policy_factory(commit, ())


def test_loaded_policy_of_work_tree_is_a_separate_copy():
    """The loaded modules import each other instead of the imported ones, so a constant changes only there."""
    module = revisions.load_policy_module("", (("SAMPLE_WINDOW_US", 50_000.0),))
    assert module.balancer.GradientController is module.gradient.GradientController
    assert module.gradient.SAMPLE_WINDOW_US == 50_000 and gradient.SAMPLE_WINDOW_US == 100_000
    assert module.balancer.GradientController is not gradient.GradientController


FORMER_INTERFACE = """
from dataclasses import dataclass
class Actions:
    def refuse(self, request, retry_after): ...
@dataclass
class ClassSettings:
    effect: int
    aim: int
@dataclass
class Settings:
    classes: tuple
    cold_time: int
    second_copies: bool
"""
FORMER_BALANCER = """
from balancer.policy.interface import Settings
class Balancer:
    def __init__(self, settings, seed, actions):
        self.settings, self.actions, self.notified = settings, actions, []
    def request(self, now, request, *rest):
        self.actions.refuse(request, 5)
        self.actions.probe(7)
        self.actions.tell(1, b"x")
        self.actions.send(request, 2, 3)
    def client_left(self, now, request):
        self.notified.append(request)
    def probed(self, now, server, ok, latency, report):
        self.notified.append(server)
"""


def test_revision_with_former_interface_names_is_adapted(tmp_path, monkeypatch):
    files = {
        "balancer/policy/__init__.py": FORMER_BALANCER,
        "balancer/policy/interface.py": FORMER_INTERFACE,
    }
    commit = commit_files(tmp_path, files)
    monkeypatch.setattr(revisions, "ROOT", tmp_path)
    recorder = Recorder()
    policy = revisions.load_policy_factory(commit, ())(BASE_SETTINGS, 1, recorder, None)
    assert policy.settings.cold_time == BASE_SETTINGS.slow_start_time and not policy.settings.second_copies
    assert [c.aim for c in policy.settings.classes] == [c.latency_objective for c in BASE_SETTINGS.classes]
    policy.request(0, 1, 0, 0, 3 * SEC, False)
    assert recorder.take() == [
        ("reject", 1, 5),
        ("check_health", 7),
        ("send_to_peer", 1, b"x"),
        ("send", 1, 2, 3),
    ]
    policy.client_disconnected(0, 1)
    policy.health_checked(0, 2, True, 5, ())
    assert policy.notified == [1, 2]
    with pytest.raises(AttributeError):
        policy.zone_shares(0, {}, {})  # The older policy does not define this event.
