"""Message types by tag, and their form as msgpack arrays."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec


class UnknownMessage(ValueError):
    """A message whose tag or fields this process does not know."""


def message_tag(kind: type) -> str:
    """Returns the tag that messages of type ``kind`` have on the wire.

    It is the class attribute ``TAG`` where there is one, else the name of the type:
    a renamed type keeps the tag that hosts of older builds know.
    """
    tag = getattr(kind, "TAG", None)
    # A field named TAG is no str on the class.
    return tag if isinstance(tag, str) else kind.__name__


class MessageCatalogue:
    """Packs messages (``NamedTuple`` types) to arrays and back.

    The tag of a message is the ``message_tag`` of its type.
    """

    def __init__(self, kinds: Iterable[type[NamedTuple]] = ()) -> None:
        self._kinds: dict[str, Any] = {}
        self._decoders: dict[str, msgspec.msgpack.Decoder] = {}
        for kind in kinds:
            self.add(kind)

    def add(self, kind: Any) -> None:
        """Makes ``kind`` known; adding it twice does nothing.

        Raises:
            ValueError: Another type has the same tag.
        """
        tag = message_tag(kind)
        known = self._kinds.setdefault(tag, kind)
        if known is not kind:
            raise ValueError(f"two message types with the tag {tag!r}")

    def pack(self, message: Any) -> tuple[str, tuple[Any, ...]]:
        """Returns the tag and the plain fields of ``message``."""
        return message_tag(type(message)), msgspec.to_builtins(
            message, builtin_types=(bytes,)
        )

    def unpack(self, tag: str, fields: Any) -> Any:
        """Returns the message with ``tag`` and ``fields``, which may still be packed.

        Raises:
            UnknownMessage: The tag is unknown or a field has a wrong type.
        """
        kind = self._kinds.get(tag)
        if kind is None:
            raise UnknownMessage(f"message type {tag!r}")
        try:
            if isinstance(fields, msgspec.Raw):
                return self._decoder(tag, kind).decode(fields)
            return msgspec.convert(fields, kind)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise UnknownMessage(f"message {tag!r}: {exc}") from exc

    def _decoder(self, tag: str, kind: Any) -> msgspec.msgpack.Decoder:
        decoder = self._decoders.get(tag)
        if decoder is None:
            decoder = self._decoders[tag] = msgspec.msgpack.Decoder(kind)
        return decoder
