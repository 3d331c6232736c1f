"""Results of the checks: verdicts and the violations that were observed."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class Breach:
    """One observed violation of an invariant.

    Attributes
    ----------
    subject : the request, order, server or member concerned.
    t : when it happened, seconds on the journals' clock.
    what : one line that describes the violation.
    """

    subject: str
    t: float
    what: str


@attrs.define
class CheckResult:
    """The result of one check.

    Attributes
    ----------
    facts : number of observations examined; with 0 the invariant was not exercised.
    not_checked : what could not be decided from the evidence of this run, one line each.
    """

    number: int
    title: str
    facts: int = 0
    breaches: list[Breach] = attrs.field(factory=list)
    not_checked: list[str] = attrs.field(factory=list)

    def add_breach(self, subject: str, t: float, what: str) -> None:
        """Record one violation."""
        self.breaches.append(Breach(subject, t, what))

    @property
    def verdict(self) -> str:
        """The verdict: `broken`, `held` or `not exercised`."""
        if self.breaches:
            return "broken"
        return "held" if self.facts else "not exercised"

    def to_json(self) -> dict[str, Any]:
        """Return the result in the form that the report has it."""
        return {
            "number": self.number,
            "title": self.title,
            "verdict": self.verdict,
            "facts": self.facts,
            "breaches": [attrs.asdict(breach) for breach in self.breaches],
            "not_checked": list(self.not_checked),
        }
