"""Parser of the scenario language."""

from __future__ import annotations

from pathlib import Path

from lark import Lark
from lark import Token
from lark import Transformer
from lark import v_args
from lark.exceptions import UnexpectedInput
from lark.exceptions import VisitError

from wagtailkeel_bench.scenario.model import Expectation
from wagtailkeel_bench.scenario.model import FeedTraffic
from wagtailkeel_bench.scenario.model import RequestTraffic
from wagtailkeel_bench.scenario.model import Scenario
from wagtailkeel_bench.scenario.model import Step

SECONDS_BY_UNIT = {"s": 1.0, "ms": 0.001}
RULE_FIELDS_BY_SETTING = {"delay": "delay_ms", "jitter": "jitter_ms"}


class ScenarioError(Exception):
    """Raised for an invalid scenario; the message gives file, line and column where known."""


@v_args(inline=True)
class _ScenarioBuilder(Transformer):  # type: ignore[type-arg]
    def __init__(self) -> None:
        super().__init__()
        self.scenario = Scenario()

    def deployment(self, name: Token) -> None:
        self.scenario.deployment = str(name)

    def count(self, kind: Token, number: Token) -> None:
        setattr(self.scenario, str(kind), int(number))

    def without(self, name: Token) -> None:
        self.scenario.absent.append(str(name))

    def warmup(self, seconds: float) -> None:
        self.scenario.warmup_s = seconds

    def duration(self, seconds: float) -> None:
        self.scenario.duration_s = seconds

    def time(self, number: Token, unit: Token) -> float:
        return float(number) * SECONDS_BY_UNIT[str(unit)]

    def feeds(self, count: Token, path: Token, interval_s: float, over_s: float) -> None:
        self.scenario.feeds.append(FeedTraffic(int(count), str(path), interval_s, over_s))

    def requests(self, rate: Token, path: Token, work_s: float, parts: Token | None = None) -> None:
        traffic = RequestTraffic(float(rate), str(path), work_s * 1_000, int(parts or 1))
        self.scenario.requests.append(traffic)

    def unit(self, text: Token) -> str:
        return str(text)

    def value(self, number: Token, unit: str = "") -> float:
        return float(number) / 100 if unit == "%" else float(number)

    def setting(self, name: Token, value: float) -> tuple[str, float]:
        return RULE_FIELDS_BY_SETTING.get(str(name), str(name)), value

    def rule(self, links: Token, *settings: tuple[str, float]) -> None:
        setattr(self.scenario, f"{links}_rule", dict(settings))

    def argument(self, value: Token, unit: str = "") -> str:
        if unit in SECONDS_BY_UNIT:
            return str(float(value) * SECONDS_BY_UNIT[unit])
        return str(value)

    def action(self, verb: Token, *arguments: str) -> tuple[str, list[str], int]:
        return str(verb), list(arguments), verb.line or 0

    def at(self, at_s: float, action: tuple[str, list[str], int]) -> None:
        verb, arguments, line = action
        self.scenario.steps.append(Step(at_s, verb, arguments, line))

    def expect(self, path: Token, comparison: Token, bound: Token) -> None:
        expectation = Expectation(str(path), str(comparison), float(bound))
        self.scenario.expectations.append(expectation)

    def baseline(self) -> None:
        self.scenario.has_baseline = True


def parse_scenario(text: str, name: str) -> Scenario:
    """Return the parsed scenario; raise ScenarioError with the position of the first error."""
    grammar = Path(__file__).with_name("grammar.lark").read_text()
    builder = _ScenarioBuilder()
    try:
        tree = Lark(grammar, parser="earley", propagate_positions=True).parse(text + "\n")
        builder.transform(tree)
    except UnexpectedInput as error:
        raise ScenarioError(
            f"{name}:{error.line}:{error.column}: unexpected input\n{error.get_context(text)}"
        ) from error
    except VisitError as error:
        raise ScenarioError(f"{name}: {error.orig_exc!r}") from error
    scenario = builder.scenario
    scenario.steps.sort(key=lambda step: step.at_s)
    return scenario
