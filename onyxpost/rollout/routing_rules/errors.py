"""Errors of a rules file. Each rejects the whole file and is listed in docs/on-call.md."""

from __future__ import annotations

from onyxpost.errors import InvalidInputError


class InvalidRulesError(InvalidInputError):
    """The file is not TOML or too long, or a key in it is unknown, of the wrong type or out of range."""

    remedy = "mend that place; `onyxpost check NODE-FILE` tries it; docs/rollouts-rules.md has their form"


class UnknownNameError(InvalidInputError):
    """A rule names a frontend, plan or zone unknown to this node, or uses `at` and the node has no zone."""

    remedy = "mend the name; a new zone goes into the rules' `zones`, the node's own into `zone` of its file"


class MissingFallbackError(InvalidInputError):
    """All servers that a rule names may be unavailable at once, and no fallback receives the requests."""

    remedy = 'end the rule\'s `servers.fallbacks` with "any"'


class UnreachableRuleError(InvalidInputError):
    """A rule or fallback never applies, because earlier ones match all of its requests or servers."""

    remedy = "put it before those that the line names, make it match what they leave, or take it out"


class SplitsDeduplicationScopeError(InvalidInputError):
    """A rule may select only a part of the zone or cell within which a frontend deduplicates requests."""

    remedy = "name whole zones (or cells), as the frontend's group is, or leave that frontend out of the rule"


class StaleRulesError(InvalidInputError):
    """The file's version is earlier than the one in force."""

    remedy = "give the rules a version above the one in force, the old text with a new number too; SIGHUP"


class ConflictingRulesError(InvalidInputError):
    """The file's version is the one in force, but its text differs."""

    remedy = "raise the version in the rules' file with each change, on all nodes; SIGHUP"
