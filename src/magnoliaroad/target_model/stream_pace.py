"""Learns the pace of a target from one stream."""

from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.target_model.model import TargetModel
from magnoliaroad.target_model.pace import EventTimes

# Time for passing a part of a stream on from which its caller counts as slow, in
# seconds. What comes next has waited for the caller, and shows no pace of the target.
SLOW_CALLER_S = 0.005


class StreamPace:
    """Measures the time between the events of a stream, as they arrive.

    Args:
        model: Gets the result.
        target: The target that sends the stream.
        sent_at: Time at which the request was sent, in seconds.
        prompt_tokens: Tokens of the prompt if the target did not hold it, else 0.
    """

    def __init__(
        self,
        model: TargetModel,
        target: RelayTarget,
        sent_at: float,
        prompt_tokens: int = 0,
    ) -> None:
        self._model = model
        self._target = target
        self._sent_at = sent_at
        self._prompt_tokens = prompt_tokens
        self._times = EventTimes()
        self._counted = 0
        # Arrival of the last event; ``None`` if the caller has held up the stream.
        self._last_arrived: float | None = None

    def record(self, count: int, arrived: float, passed_on: float) -> None:
        """Records that a part of the stream was passed on.

        Args:
            count: Events of the stream so far.
            arrived: Time at which the part arrived, in seconds.
            passed_on: Time at which the caller had taken it, in seconds.
        """
        if count > self._counted:
            events = count - self._counted
            if not self._counted:
                took_s = arrived - self._sent_at
                model, target = self._model, self._target
                model.record_prompt(target, self._prompt_tokens, took_s, arrived)
            if self._counted and self._last_arrived is not None:
                slowdown = self._model.loads.slowdown(self._target, arrived)
                self._times.add(arrived - self._last_arrived, events, slowdown)
            self._counted = count
            self._last_arrived = arrived
        if passed_on - arrived > SLOW_CALLER_S:
            self._last_arrived = None

    def end(self, now: float) -> None:
        """Adds what the stream has shown to the model, whether it is whole or not."""
        self._model.record_pace(self._target, self._times, now)
