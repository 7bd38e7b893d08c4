"""Determines which parts a new revision writes and which become unused."""

from collections.abc import Iterable
from typing import NamedTuple

from magnoliaroad.config.accepted import AcceptedConfig
from magnoliaroad.config.change import MAX_CHANGES, Change
from magnoliaroad.config.document import Config
from magnoliaroad.config.head import ConfigHead
from magnoliaroad.config.part import Part, split_config
from magnoliaroad.config.part_ref import PartRef


class Proposal(NamedTuple):
    """A new revision that is ready to be written.

    Attributes:
        head: The head to write.
        parts: Parts to write before it, with their references.
        unused: Parts that no head references once this one is accepted.
    """

    head: ConfigHead
    parts: tuple[tuple[PartRef, bytes], ...]
    unused: tuple[PartRef, ...]


def propose(base: AcceptedConfig, config: Config, change: Change) -> Proposal:
    """Returns the revision that changes ``base`` into ``config``."""
    known = {ref.digest: ref for ref in base.head.parts}
    parts = split_config(config)
    refs = [known.get(p.digest) or PartRef(p.digest, base.head.revision) for p in parts]
    used = {part.digest for part in parts}
    head = ConfigHead(
        revision=change.revision,
        parts=tuple(refs),
        changes=(*base.head.changes, change)[-MAX_CHANGES:],
    )
    return Proposal(
        head=head,
        parts=_new_parts(refs, parts, known),
        unused=tuple(ref for ref in base.head.parts if ref.digest not in used),
    )


def select_unused(head: ConfigHead, refs: Iterable[PartRef]) -> list[PartRef]:
    """Returns the ``refs`` that neither ``head`` nor a later head can reference."""
    used = set(head.parts)
    return [ref for ref in refs if ref.base < head.revision and ref not in used]


def _new_parts(
    refs: list[PartRef], parts: list[Part], known: dict[bytes, PartRef]
) -> tuple[tuple[PartRef, bytes], ...]:
    pairs = zip(refs, parts, strict=True)
    return tuple((ref, part.data) for ref, part in pairs if part.digest not in known)
