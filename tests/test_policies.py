"""The baselines, the published filter's controller by hand-fed time, and the policy at other revisions."""

import subprocess
from random import Random

import pytest
from support import BASE, SEC, Recorder

from balancer.policy import gradient as today
from balancer.policy.interface import ListKind, Outcome, ServerEntry, State
from workbench.baselines import revisions
from workbench.baselines.gradient import GradientController, GradientSettings, PublishedGradient
from workbench.baselines.static import RandomChoice, RoundRobin, TwoChoices
from workbench.scenario.load import draw, load
from workbench.simulator.play import play

MS = 1000


def measured(latency=10 * MS):
    """A controller whose first minRTT is known, and its window begun at 0."""
    controller = GradientController(GradientSettings(), Random(1), 0)
    for _ in range(50):
        controller.sample(0, latency)
    return controller


def test_the_filter_measures_at_three_then_grows_by_the_square_root():
    controller = GradientController(GradientSettings(), Random(1), 0)
    admitted = 0
    while controller.admits(0):
        controller.in_flight += 1
        admitted += 1
    assert admitted == 3 and controller.min_rtt_calculation_active and controller.rq_blocked == 1
    controller = measured()
    assert controller.min_rtt == 10 * MS and not controller.min_rtt_calculation_active
    for window in range(1, 4):
        controller.sample(window * 100 * MS, 10 * MS)
    assert controller.gradient == 1.25 and controller.concurrency_limit == 13  # 3, 5, 8, 13


@pytest.mark.parametrize(
    ("sample", "gradient"), [(10, 1.25), (12.5, 1.0), (25, 0.5), (100, 0.5), (1, 2.0)], ids=str
)
def test_the_gradient_is_min_rtt_and_buffer_over_the_sample(sample, gradient):
    controller = measured()
    controller.sample(100 * MS, int(sample * MS))
    assert controller.gradient == pytest.approx(gradient)


def test_an_empty_window_changes_nothing_and_five_at_the_minimum_measure_anew():
    controller = measured()
    controller.close_window(10 * SEC)
    assert controller.concurrency_limit == 3
    for window in range(101, 106):
        assert not controller.min_rtt_calculation_active
        controller.sample(window * 100 * MS, 1000 * MS)
    assert controller.min_rtt_calculation_active


def test_min_rtt_is_measured_again_each_minute_with_jitter():
    controller = measured()
    assert 60 * SEC <= controller.next_min_rtt <= 66 * SEC
    for window in range(1, 70 * 10):
        controller.sample(window * 100 * MS, 10 * MS)
        if controller.min_rtt_calculation_active:
            break
    assert 60 <= window / 10 <= 66.2 and controller.concurrency_limit == 3


def asked(make, requests=40, servers=4, **changes):
    recorder = Recorder()
    node = make(BASE, 1, recorder)
    node.start(0)
    node.server_list(0, ListKind.CACHED, [ServerEntry(i) for i in range(servers)])
    for request in range(requests):
        node.request(request, request, 0, 0, 3 * SEC, False)
    return node, recorder


def test_choices():
    sent = [c[2] for c in asked(RoundRobin)[1].take("send")]
    assert all(sent.count(s) == 10 for s in range(4)) and sent[:4] == sent[4:8]
    sent = [c[2] for c in asked(TwoChoices)[1].take("send")]
    assert max(sent.count(s) for s in range(4)) <= 12  # even, by in-flight
    node, recorder = asked(PublishedGradient, 5)
    assert [c[0] for c in recorder.take()] == ["send"] * 3 + ["reject"] * 2


@pytest.mark.parametrize(
    ("request_class", "outcome", "answer"),
    [
        (0, Outcome.TIMEOUT, "send"),
        (0, Outcome.REJECTED, "send"),
        (1, Outcome.REJECTED, "send"),
        (1, Outcome.TIMEOUT, "send"),  # the same cell
        (2, Outcome.REJECTED, "send"),
        (2, Outcome.TIMEOUT, "fail"),
    ],
)
def test_baselines_repeat_only_what_may_be_repeated(request_class, outcome, answer):
    recorder = Recorder()
    node = RandomChoice(BASE, 1, recorder)
    node.server_list(
        0, ListKind.FULL, [ServerEntry(1, cell=1), ServerEntry(2, cell=1), ServerEntry(3, cell=2)]
    )
    node.server_list(0, ListKind.CHANGES, [ServerEntry(3, State.GONE)] if request_class != 1 else [])
    node.request(0, 7, request_class, 0, 3 * SEC, False)
    ((_, _, first, _),) = recorder.take("send")
    node.outcome(1000, 7, 0, first, outcome, 1000, False, ())
    (call,) = recorder.take("send", "fail", "reject")
    if request_class == 1 and outcome == Outcome.TIMEOUT and first == 3:
        assert call[:3] == ("send", 7, 3)
        return
    assert call[0] == answer and (answer != "send" or call[2] != first)


def test_an_oracle_bounds_the_module_and_random_choice_is_the_floor():
    """At seven tenths of the capacity and a slow server: the oracle over the module over random."""
    goals = {}
    for policy in ("true-state", "module", "random"):
        changes = ["length_s=15", "servers=6", "load.fraction=0.7", "fault[0].at_s=3", "fault[1].at_s=60"]
        day = draw(
            load("trouble", [*changes, "fault[2].at_s=60", "fault[0].part=0.2", "fault[0].factor=6"]), 2
        )
        goals[policy] = play(day, policy).result["goal"]
    assert goals["true-state"] > goals["module"] > goals["random"]


def committed(folder, files):
    """A repository with one commit of these files, and the commit's name."""
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
BALANCER = "class Balancer:\n    def __init__(self, *given): self.seen = WAIT, Effect.name\n"


def uses(interface):
    return f"from {interface} import Effect\nWAIT = 3\n"


def package(node, interface):
    return {
        f"{node}/policy/__init__.py": f"from {node}.policy.balancer import Balancer\n",
        f"{node}/policy/balancer.py": f"from {node}.policy.times import WAIT, Effect\n" + BALANCER,
        f"{node}/policy/times.py": uses(interface),
        f"{node}/policy/unused.txt": "not a module\n",
    }


LAYOUTS = {
    "single module": {
        "brackenladder/balance.py": uses("brackenladder.interface") + BALANCER,
        "brackenladder/interface.py": INTERFACE,
    },
    "package before the renaming": {
        **package("brackenladder", "brackenladder.interface"),
        "brackenladder/interface.py": INTERFACE,
    },
    "package, interface beside it": {
        **package("balancer", "balancer.interface"),
        "balancer/interface.py": INTERFACE,
    },
    "package": {
        **package("balancer", "balancer.policy.interface"),
        "balancer/policy/interface.py": INTERFACE,
    },
}


@pytest.mark.parametrize("files", LAYOUTS.values(), ids=LAYOUTS)
def test_a_revision_is_played_from_every_layout(files, tmp_path, monkeypatch):
    """Also with a constant that one module defines and another one imports."""
    commit = committed(tmp_path, files)
    monkeypatch.setattr(revisions, "ROOT", tmp_path)
    made = revisions.policy_of(commit, ())(BASE, 1, Recorder(), None)
    changed = revisions.policy_of(commit, (("WAIT", 5.0),))(BASE, 1, Recorder(), None)
    assert made.seen == (3, "of the revision") and changed.seen == (5, "of the revision")
    with pytest.raises(revisions.RevisionError, match="policy.WAIT_NONE: no such constant"):
        revisions.policy_of(commit, (("WAIT_NONE", 5.0),))


def test_a_revision_without_a_policy_is_refused(tmp_path, monkeypatch):
    commit = committed(tmp_path, {"README.md": "nothing yet\n"})
    monkeypatch.setattr(revisions, "ROOT", tmp_path)
    with pytest.raises(revisions.RevisionError, match="it has no policy"):
        revisions.policy_of(commit, ())


def test_the_work_tree_s_policy_is_loaded_whole_beside_today_s():
    """Its modules import one another, not those in service, so that a constant changes in the copy alone."""
    module = revisions.load("", (("SAMPLE_WINDOW_US", 50_000.0),))
    assert module.balancer.GradientController is module.gradient.GradientController
    assert module.gradient.SAMPLE_WINDOW_US == 50_000 and today.SAMPLE_WINDOW_US == 100_000
    assert module.balancer.GradientController is not today.GradientController


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


def test_a_revision_from_before_the_terms_were_renamed_gets_its_own_names(tmp_path, monkeypatch):
    files = {
        "balancer/policy/__init__.py": FORMER_BALANCER,
        "balancer/policy/interface.py": FORMER_INTERFACE,
    }
    commit = committed(tmp_path, files)
    monkeypatch.setattr(revisions, "ROOT", tmp_path)
    recorder = Recorder()
    policy = revisions.policy_of(commit, ())(BASE, 1, recorder, None)
    assert policy.settings.cold_time == BASE.slow_start_time and not policy.settings.second_copies
    assert [c.aim for c in policy.settings.classes] == [c.latency_objective for c in BASE.classes]
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
        policy.zone_shares(0, {}, {})  # this one has no such event
