"""Shows an explanation as text."""

from collections.abc import Iterator
from typing import Any


def to_lines(found: dict[str, Any]) -> Iterator[str]:
    """Yields the lines that show an explanation.

    Args:
        found: The explanation as it is in the JSON output.
    """
    yield _outcome(found)
    yield f"  why: {found['why']}"
    for note in found["notes"]:
        yield f"  note: {note}"
    yield _route(found["route"])
    if found["route"] is not None and found["route"]["room"] is not None:
        yield _room(found["route"]["room"])
    if found["team"] is not None:
        yield _team(found["team"])
    if found["program"] is not None:
        yield _program(found["program"])
    yield from _host(found["host"])
    if found["route"] is not None:
        yield f"targets of {found['route']['service']}: {len(found['candidates'])}"
    for candidate in found["candidates"]:
        yield from _candidate(candidate)


def _outcome(found: dict[str, Any]) -> str:
    if found["outcome"] == "refused":
        return f"refused: {found['code']} (status {found['status']})"
    if found["outcome"] == "waits":
        return f"waits {found['wait_s']:.2f} s, then sent to {found['target']}"
    return f"sent to {found['target']}"


def _route(route: dict[str, Any] | None) -> str:
    if route is None:
        return "route: none"
    text = (
        f"route: {route['name']} ({route['prefix']}, {route['kind']},"
        f" at most {route['attempts']} targets), service {route['service']}"
    )
    if route["service_depends_on_request"]:
        text += " by the request's id"
    if route["allowed_data_centres"] is not None:
        names = ", ".join(route["allowed_data_centres"]) or "none"
        text += f", only in data centres: {names}"
    if route["waiting"]:
        text += f", {route['waiting']} requests wait for room here"
    return text + (", through peers" if route["through_peer"] else "")


def _room(room: dict[str, Any]) -> str:
    taken = "refused for lack of room" if room["refused"] else "not refused"
    return (
        f"new programs of rank {room['rank']}: {taken};"
        f" {room['waiting']:.2f} of the slots wait at the least loaded target"
    )


def _team(team: dict[str, Any]) -> str:
    if team["tokens_left"] is None:
        return f"team: {team['name']}, no limit"
    return (
        f"team: {team['name']}, {team['rate']:g} requests a second, burst"
        f" {team['burst']:g}, {team['tokens_left']:.1f} left as this host knows,"
        f" counted by {team['counted_by']}"
    )


def _program(program: dict[str, Any]) -> str:
    kind = "new to this host" if program["would_start"] else "known"
    unknown = f"unknown here, remembered by {program['remembered_by']}"
    return f"program: {kind}, last target {program['placed'] or unknown}"


def _host(host: dict[str, Any]) -> Iterator[str]:
    state = "ready" if host["ready"] else "not ready"
    state += ", draining" if host["draining"] else ""
    state += ", without the store" if host["store_lost"] else ""
    yield f"host: {host['name']} in {host['data_centre']}, {state}"
    plan = "none"
    if host["plan_age_s"] is not None:
        plan = (
            f"version {host['plan_version']}, taken {host['plan_age_s']:.1f} s ago"
            f" from {host['plan_origin']}"
        )
    listed = "never"
    if host["targets_age_s"] is not None:
        listed = f"{host['targets_age_s']:.1f} s ago"
    current = "" if host["targets_current"] else ", a peer has newer ones"
    yield f"configuration: {plan}; targets listed {listed}{current}"
    if host["newest_heartbeat_s"] is not None:
        yield (
            f"news of peers: {host['newest_heartbeat_s']:.2f} to"
            f" {host['oldest_heartbeat_s']:.2f} s old"
        )
    for name, age_s in host["evacuated"].items():
        yield f"evacuated: {name}, known for {age_s:.1f} s"


def _candidate(one: dict[str, Any]) -> Iterator[str]:
    mark = "->" if one["chosen"] else " +" if one["usable"] else " -"
    text = (
        f"{mark} {one['name']} ({one['data_centre']}, {one['state']}): load"
        f" {one['load_counted']} of {one['slots']} by the counts"
        f" ({one['load_own']} of this host)"
    )
    stated = one["load_stated"]
    if stated is not None:
        text += (
            f", stated {stated['running']}+{stated['waiting']} of {stated['slots']}"
            f" {stated['age_s']:.2f} s ago"
        )
        if stated["slowdown"] is not None:
            text += f" (slowdown {stated['slowdown']:g})"
    if one["pace_s"] is not None:
        text += f", {1000 * one['pace_s']:.1f} ms an event"
    if one["expected_s"] is not None:
        text += f", ends in {one['expected_s']:.3f} s"
    yield text
    if one["favour"]:
        yield f"     for: {'; '.join(one['favour'])}"
    if one["against"]:
        yield f"     against: {'; '.join(one['against'])}"
