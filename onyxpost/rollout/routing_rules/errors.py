"""Errors of a rules file. Each rejects the whole file and is listed in docs/on-call.md."""

from __future__ import annotations

from onyxpost.errors import InvalidInputError


class InvalidRulesError(InvalidInputError):
    """The file is not TOML, is too long, or has a key that is unknown, of the wrong type or out of range.

    Also raised for a choice of servers without a criterion, or with weights for more than one criterion.
    """

    remedy = "correct the file, then run `onyxpost check NODE-FILE`; see docs/rollouts-routing-rules.md"


class UnknownNameError(InvalidInputError):
    """A rule names a frontend, plan or zone unknown to this node, or uses `at` and the node has no zone."""

    remedy = "correct the name, add a new zone to the rules file's `zones`, or set `zone` in the node's file"


class MissingFallbackError(InvalidInputError):
    """All servers that a rule names may be unavailable at once, and no fallback receives the requests."""

    remedy = 'add "any" as the last entry of the rule\'s `servers.fallbacks`'


class UnreachableRuleError(InvalidInputError):
    """A rule or fallback never applies, because earlier ones match all of its requests or servers."""

    remedy = "move the rule or fallback before those that this line names, extend its match, or delete it"


class SplitsDeduplicationScopeError(InvalidInputError):
    """A rule may select only a part of the zone or cell within which a frontend deduplicates requests."""

    remedy = (
        "select servers by the frontend's `group` (zones or cells), or exclude that frontend from the rule"
    )


class StaleRulesError(InvalidInputError):
    """The file's version is earlier than the one in force."""

    remedy = "set `version` above the one in force, even to restore an earlier text; then send SIGHUP"


class ConflictingRulesError(InvalidInputError):
    """The file's version is the one in force, but its text differs."""

    remedy = "raise `version` with each change of the rules file, on all nodes; then send SIGHUP"
