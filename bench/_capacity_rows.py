"""Rows of the capacity page, computed from measured costs per unit."""

from typing import Any, NamedTuple

from bench import _design_size as size
from bench._slopes import Slopes
from magnoliaroad.config.settings import ConfigSettings
from magnoliaroad.groups.settings import GroupSettings
from magnoliaroad.membership.settings import MembershipSettings
from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.store.settings import StoreSettings


class Row(NamedTuple):
    """A row of a table on the capacity page.

    Attributes:
        role: Part of the system that bears the load.
        quantity: The quantity.
        arithmetic: How the value is computed.
        value: The computed value, with its unit.
        limit: What is available, with its unit; empty if no limit is stated.
        fits: Whether the value is within the limit; ``None`` without a limit.
        mechanism: Mechanism that keeps the value down, or what is missing for it.
    """

    role: str
    quantity: str
    arithmetic: str
    value: str
    limit: str
    fits: bool | None
    mechanism: str


REQUESTS = size.REQUESTS_PER_S / size.HOSTS
HOSTS_OF_DATA_CENTRE = size.HOSTS / size.DATA_CENTRES
MEMORY = f"{size.CONTROL_MEMORY_BYTES / 1e6:.0f} MB"
TRAFFIC = f"{size.CONTROL_BYTES_PER_S} B/s"
CORE = f"{100 * size.CONTROL_CORE_SHARE:.1f} %"
# Each turn writes two records, when it begins and when it is settled.
RECORDS_OF_TURN = 2


def host_time(slopes: Slopes) -> tuple[list[Row], float]:
    """Returns the rows on the processor time of the control plane.

    Returns:
        The rows, and their sum in percent of a core.
    """
    copies = GroupSettings().copies
    placement = REQUESTS * slopes.place_us_1900 / 1e4
    queue = REQUESTS * slopes.queue_us / 1e4
    digest = REQUESTS * size.MEAN_HISTORY_TOKENS / 1000
    digest *= slopes.digest_us_per_ktoken / 1e4
    count = RECORDS_OF_TURN * 2 * (1 + copies) * 2
    messages = REQUESTS * count / 2 * slopes.message_us / 1e4
    total = placement + queue + digest + messages
    rows = [
        _row(
            "entry host",
            "placement, core share",
            f"{REQUESTS:.1f} requests/s x {slopes.place_us_1900} us",
            f"{placement:.2f} %",
            "",
            None,
            "12 scored candidates and those with the prefix, however many runners",
        ),
        _row(
            "entry host",
            "queue, core share",
            f"{REQUESTS:.1f}/s x {slopes.queue_us} us at 1,000 waiting",
            f"{queue:.2f} %",
            "",
            None,
            "sorted list for each team, merged on demand",
        ),
        _row(
            "entry host",
            "prefix digests, core share",
            f"{REQUESTS:.1f}/s x {size.MEAN_HISTORY_TOKENS / 1000:.0f} ktokens"
            f" x {slopes.digest_us_per_ktoken} us",
            f"{digest:.2f} %",
            "",
            None,
            "one xxh3 for each 256 tokens",
        ),
        _row(
            "entry host, owner",
            "program messages, core share",
            f"{REQUESTS:.1f}/s x {count} sent and read / 2 x {slopes.message_us} us",
            f"{messages:.2f} %",
            "",
            None,
            "owner and two copies of each group",
        ),
        _row(
            "entry host",
            "sum of these, core share",
            f"{placement:.2f} + {queue:.2f} + {digest:.2f} + {messages:.2f}",
            f"{total:.2f} %",
            CORE,
            total <= 100 * size.CONTROL_CORE_SHARE,
            "codecs and hashes only; forwarding the streams is not included",
        ),
    ]
    return rows, total


def host_memory(slopes: Slopes) -> list[Row]:
    """Returns the rows on the memory of a host."""
    copies = 1 + GroupSettings().copies
    owned = size.PROGRAMS / size.HOSTS
    programs = owned * copies
    history = size.MEAN_HISTORY_TOKENS * size.BYTES_PER_TOKEN
    at_owner = slopes.program_bytes + size.MEAN_TURNS * slopes.turn_bytes
    at_copy = slopes.program_copy_bytes + size.MEAN_TURNS * slopes.turn_copy_bytes
    state = owned * (at_owner + (copies - 1) * at_copy) / 1e6
    histories = programs * history * slopes.text_bytes / 1e6
    entries = RoutingSettings().index_entries
    index = entries * slopes.index_bytes / 1e6
    config = slopes.config_memory_bytes / 1e6
    limits = size.ACTIVE_TEAMS_ON_HOST * slopes.limiter_bytes / 1e6
    tables = (size.DATA_CENTRES + 1) * slopes.group_table_bytes / 1e6
    control = state + index + config + limits + tables
    return [
        _row(
            "owner and replicas of groups",
            "programs, text in the data folder",
            f"{size.PROGRAMS:,} / {size.HOSTS} = {owned:,.0f} x ({at_owner:,.0f} B"
            f" + {copies - 1} replicas x {at_copy:,.0f} B) at {size.MEAN_TURNS} turns",
            f"{state:.1f} MB",
            "",
            None,
            "groups of keys, each with an owner and two replicas",
        ),
        _row(
            "entry host",
            "prefix index",
            f"{entries:,} entries x {slopes.index_bytes:.0f} B",
            f"{index:.1f} MB",
            "",
            None,
            "least recently used entries are evicted",
        ),
        _row(
            "entry host",
            "configuration and keys",
            f"measured, {slopes.config_bytes / 1e6:.2f} MB packed",
            f"{config:.1f} MB",
            "",
            None,
            "one copy in memory; parts shared by digest",
        ),
        _row(
            "entry host",
            "teams active on it",
            f"{size.ACTIVE_TEAMS_ON_HOST} x {slopes.limiter_bytes:.0f} B",
            f"{limits:.2f} MB",
            "",
            None,
            "idle teams are removed",
        ),
        _row(
            "entry host",
            "tables of groups",
            f"{size.DATA_CENTRES + 1} x {slopes.group_table_bytes:.0f} B packed",
            f"{tables:.2f} MB",
            "",
            None,
            "one table per data centre and one for the fleet",
        ),
        _row(
            "entry host",
            "total memory of the control plane",
            f"{state:.1f} + {index:.1f} + {config:.1f} + {limits:.2f} + {tables:.2f}",
            f"{control:.1f} MB",
            MEMORY,
            control * 1e6 <= size.CONTROL_MEMORY_BYTES,
            "turns are the largest part; a more compact record of ended turns is"
            " needed",
        ),
        _row(
            "owner and replicas of groups",
            "histories on hosts without a data folder",
            f"{programs:,.0f} x {size.MEAN_HISTORY_TOKENS:,} tokens x"
            f" {size.BYTES_PER_TOKEN} B x {slopes.text_bytes}",
            f"{histories:.0f} MB",
            MEMORY,
            histories * 1e6 <= size.CONTROL_MEMORY_BYTES,
            "these hosts keep text in memory; the replicas would have to be on hosts"
            " with a data folder",
        ),
    ]


def host_traffic(slopes: Slopes) -> list[Row]:
    """Returns the rows on the traffic between hosts."""
    routing = RoutingSettings()
    copies = GroupSettings().copies
    peers = routing.hint_peers
    in_flight = min(size.RUNNERS / size.DATA_CENTRES, REQUESTS * size.TURN_S)
    hint = in_flight * slopes.hint_bytes_per_target * peers / routing.hint_interval_s
    capped = min(hint, routing.hint_bytes_per_s)
    turn = size.TURN_TOKENS * size.BYTES_PER_TOKEN
    sends = (1 + copies) * RECORDS_OF_TURN
    overhead = REQUESTS * sends * 2 * slopes.record_overhead_bytes
    payload = REQUESTS * (1 + copies) * turn
    change = size.CHANGES_PER_DAY / size.DAY_S * slopes.config_change_bytes * 2
    return [
        _row(
            "entry host",
            "hints of requests in flight",
            f"{in_flight:.0f} targets x {slopes.hint_bytes_per_target} B x {peers}"
            f" peers / {routing.hint_interval_s} s = {hint / 1000:.0f} KB/s, capped",
            f"{capped / 1000:.1f} KB/s",
            TRAFFIC,
            capped <= size.CONTROL_BYTES_PER_S,
            f"a cap of {routing.hint_bytes_per_s / 1000:.0f} KB/s; beyond it the"
            " engines' own reports are used",
        ),
        _row(
            "owner and replicas of groups",
            "frames of program records",
            f"{REQUESTS:.1f}/s x {sends} records x 2 x"
            f" {slopes.record_overhead_bytes:.0f} B",
            f"{overhead / 1000:.1f} KB/s",
            TRAFFIC,
            overhead <= size.CONTROL_BYTES_PER_S,
            "one message for each record and replica; batching a group's records"
            " would save frames",
        ),
        _row(
            "owner and replicas of groups",
            "content of program records (data)",
            f"{REQUESTS:.1f}/s x {1 + copies} x {size.TURN_TOKENS} tokens x"
            f" {size.BYTES_PER_TOKEN} B",
            f"{payload / 1000:.0f} KB/s",
            "",
            None,
            "only the new text of a turn is sent",
        ),
        _row(
            "entry host",
            "configuration changes",
            f"{size.CHANGES_PER_DAY:,}/day x {slopes.config_change_bytes:.0f} B x 2",
            f"{change:.0f} B/s",
            TRAFFIC,
            change <= size.CONTROL_BYTES_PER_S,
            "changed parts are fetched by digest from a nearby host",
        ),
    ]


def store_calls() -> list[Row]:
    """Returns the rows on the calls to the platform's store."""
    config, members = ConfigSettings(), MembershipSettings()
    renewals = size.HOSTS / members.refresh_s(size.HOSTS)
    watch_s = StoreSettings("").watch_timeout_s
    watchers = size.DATA_CENTRES * config.watchers_per_data_centre
    config_watch = 2 * watchers / config.watch_limit_s
    tables = size.HOSTS / watch_s
    moves = size.REPLACEMENTS_PER_DAY + size.FAILURES_PER_DAY
    table_reads = moves * 2 * size.HOSTS / size.DAY_S
    writes = renewals + moves * 8 / size.DAY_S
    poller_reads = size.DATA_CENTRES * members.pollers / watch_s
    reads = config_watch + tables + table_reads + poller_reads
    return [
        _row(
            "platform's service",
            "writes: leases, takeovers, changes",
            f"{size.HOSTS} / {members.refresh_s(size.HOSTS)} s + {moves} x 8 / day",
            f"{writes:.1f}/s",
            f"{size.STORE_WRITES_PER_S}/s",
            writes <= size.STORE_WRITES_PER_S,
            "the renewal interval grows with the fleet",
        ),
        _row(
            "platform's service",
            "reads: watches of configuration and keys",
            f"2 x {watchers} watchers / {config.watch_limit_s} s",
            f"{config_watch:.0f}/s",
            "",
            None,
            "two watchers per data centre; the other hosts learn changes from peers",
        ),
        _row(
            "platform's service",
            "reads: watches of the group tables",
            f"{size.HOSTS} / {watch_s} s + {moves} moves x 2 x {size.HOSTS} / day",
            f"{tables + table_reads:.0f}/s",
            "",
            None,
            "every host watches; two watchers per data centre would suffice",
        ),
        _row(
            "platform's service",
            "total reads",
            f"{config_watch:.0f} + {tables + table_reads:.0f} + {poller_reads:.0f}"
            " (hosts)",
            f"{reads:.0f}/s",
            f"{size.STORE_READS_PER_S:,}/s",
            reads <= size.STORE_READS_PER_S,
            "",
        ),
    ]


def faults() -> list[Row]:
    """Returns the rows on the cost of failures."""
    groups = GroupSettings()
    groups_of_host = 3 * groups.group_count / HOSTS_OF_DATA_CENTRE
    copies = 1 + groups.copies
    bytes_of_host = size.PROGRAMS * copies / size.HOSTS
    bytes_of_host *= size.MEAN_HISTORY_TOKENS * size.BYTES_PER_TOKEN
    moves = size.REPLACEMENTS_PER_DAY + size.FAILURES_PER_DAY
    copy_bytes_per_s = moves * bytes_of_host / size.DAY_S / size.HOSTS
    rack_bytes = size.RACK_HOSTS * bytes_of_host
    owned = groups.group_count / HOSTS_OF_DATA_CENTRE
    pages_s = rack_bytes / groups.page_bytes * groups.page_pause_s
    programs_of_centre = size.PROGRAMS / size.DATA_CENTRES
    return [
        _row(
            "owner and replicas of groups",
            "12 failures and 500 replacements a day",
            f"{moves} x {bytes_of_host / 1e6:.0f} MB of records / day / {size.HOSTS}",
            f"{copy_bytes_per_s / 1000:.1f} KB/s a host on average",
            TRAFFIC,
            copy_bytes_per_s <= size.CONTROL_BYTES_PER_S,
            f"{groups_of_host:.1f} groups held by a host; they are copied in pages",
        ),
        _row(
            "owner and replicas of groups",
            "a host fails",
            f"{groups.suspect_after_s} s of silence, then one write of the table;"
            f" {owned:.1f} groups without an owner",
            f"{groups.suspect_after_s:.0f} s and the recovery from the replicas",
            "",
            None,
            "probes by another host, fenced takeover from two replicas",
        ),
        _row(
            "owner and replicas of groups",
            f"a rack of {size.RACK_HOSTS} hosts",
            f"{size.RACK_HOSTS} x {bytes_of_host / 1e6:.0f} MB ="
            f" {rack_bytes / 1e6:,.0f} MB; pauses {pages_s:.0f} s shared by the rest",
            f"{rack_bytes / 1e6 / (HOSTS_OF_DATA_CENTRE - size.RACK_HOSTS):.0f}"
            " MB a host",
            "",
            None,
            "placement of replicas ignores racks: a group with all three replicas in"
            " the rack is lost; replicas would have to be spread over racks",
        ),
        _row(
            "entry hosts of the other data centres",
            "a data centre",
            f"{size.PROGRAMS:,} / {size.DATA_CENTRES} programs;"
            f" {size.REQUESTS_PER_S:,} / {size.DATA_CENTRES} requests/s move",
            f"{programs_of_centre:,.0f} programs; {size.REQUESTS_PER_S / 8:,.0f}"
            f" instead of {size.REQUESTS_PER_S / 9:,.0f} requests/s a data centre",
            "",
            None,
            "balancer; fleet-wide groups for what may run once; replicas in another"
            " data centre for the groups of this one",
        ),
        _row(
            "all",
            "a region link",
            "no state moves; hosts keep using the configuration, shares and groups"
            " that they have",
            "0 messages across it",
            "",
            None,
            "no request crosses regions except calls whose owner is in another"
            " region; these are refused as not run",
        ),
    ]


def engines(slopes: Slopes) -> list[Row]:
    """Returns the rows on engines, disks and operators."""
    routing = RoutingSettings()
    per_runner = size.REQUESTS_PER_S / size.RUNNERS
    polls_per_s = size.HOSTS * routing.watched_engines * 2 / routing.poll_interval_s
    return [
        _row(
            "engines",
            "requests and tokens of a runner",
            f"{size.REQUESTS_PER_S:,} / {size.RUNNERS:,};"
            f" {size.TOKENS_PER_S:,} / {size.RUNNERS:,}",
            f"{per_runner:.1f} requests/s, {size.TOKENS_PER_S / size.RUNNERS:,.0f}"
            " tokens/s",
            "",
            None,
            "queue at the hosts up to engine_batch, priorities at the engine",
        ),
        _row(
            "engines",
            "polls of load and cache events",
            f"{size.HOSTS} x {routing.watched_engines} x 2 / {routing.poll_interval_s}"
            f" s / {size.RUNNERS:,}",
            f"{polls_per_s / size.RUNNERS:.1f}/s a runner",
            "",
            None,
            "a host polls eight engines at a time",
        ),
        _row(
            "entry host",
            "age of an engine's report",
            f"{size.RUNNERS} / {size.DATA_CENTRES} engines / {routing.watched_engines}"
            f" x {routing.poll_interval_s} s",
            f"{size.RUNNERS / size.DATA_CENTRES / 8 * routing.poll_interval_s:.0f} s",
            "2 s",
            False,
            "needs two watchers for each engine that forward its load",
        ),
        _row(
            "host with a data folder",
            "configuration, keys",
            f"{slopes.config_bytes / 1e6:.2f} MB and the previous revisions",
            f"{slopes.config_bytes / 1e6:.2f} MB of disk",
            "",
            None,
            "read at start if neither the store nor peers answer; histories planned",
        ),
        _row(
            "host with a data folder",
            "histories of programs, if all hosts had one",
            f"{size.PROGRAMS:,} x 3 / {size.HOSTS} x {size.MEAN_HISTORY_TOKENS:,} x"
            f" {size.BYTES_PER_TOKEN} B",
            f"{_histories_bytes() / 1e6:.0f} MB of disk",
            f"{GroupSettings().disk_limit_bytes / 1e9:.0f} GB",
            _histories_bytes() <= GroupSettings().disk_limit_bytes,
            "bodies of records in files, their positions in memory",
        ),
        _row(
            "operators' command",
            "a change",
            "one part, the head, and a notice to two hosts in each data centre",
            f"{slopes.config_change_bytes / 1000:.1f} KB, 2 writes,"
            f" {2 * size.DATA_CENTRES} messages",
            "",
            None,
            "compare-and-swap of the head",
        ),
    ]


def idle_control(cost: dict[str, Any], requests_core: float) -> list[Row]:
    """Returns the rows on the cost of a host without requests.

    Args:
        cost: Output of ``bench cost``.
        requests_core: Core share of request handling, in percent of a core.
    """
    names = {
        "core_percent": ("core share", "%", 100 * size.CONTROL_CORE_SHARE, CORE),
        "memory_mb": ("memory", "MB", size.CONTROL_MEMORY_BYTES / 1e6, MEMORY),
        "bytes_per_s": ("messages", "B/s", size.CONTROL_BYTES_PER_S, TRAFFIC),
    }
    mechanisms = {
        "core_percent": "pollers and watchers are chosen by rank; a negative slope,"
        " which is noise, counts as 0",
        "memory_mb": "the whole process; mostly the interpreter and libraries",
        "bytes_per_s": "exchanges with one peer at a time; the slope from 8 to 16"
        " hosts alone is {:.1f} B/s a host",
    }
    last = cost["by_hosts"][-1]
    rows = []
    for name, (quantity, unit, bound, limit) in names.items():
        slope = cost["slopes"][name]
        per_host, per_team = max(0.0, slope["per_host"]), max(0.0, slope["per_team"])
        hosts, teams = size.HOSTS - last["hosts"], size.TEAMS - last["teams"]
        value = round(last[name] + hosts * per_host + teams * per_team, 2)
        arithmetic = (
            f"{last[name]} at {last['hosts']} hosts"
            f" + {hosts} x {per_host:.4f} + {teams} x {per_team:.5f}"
        )
        rows.append(
            _row(
                "entry host",
                f"{quantity} of an idle host",
                arithmetic,
                f"{value} {unit}",
                limit,
                value <= bound,
                mechanisms[name].format(slope["per_host_from_8"]),
            )
        )
    idle = float(rows[0].value.split()[0])
    total = _row(
        "entry host",
        "total core share of the control plane",
        f"{idle} idle + {requests_core:.2f} for requests",
        f"{idle + requests_core:.2f} %",
        CORE,
        idle + requests_core <= 100 * size.CONTROL_CORE_SHARE,
        "both parts have to be reduced",
    )
    return [*rows, total]


def _histories_bytes() -> float:
    copies = 1 + GroupSettings().copies
    history = size.MEAN_HISTORY_TOKENS * size.BYTES_PER_TOKEN
    return size.PROGRAMS * copies / size.HOSTS * history


def _row(role, quantity, arithmetic, value, limit, fits, mechanism) -> Row:
    return Row(role, quantity, arithmetic, value, limit, fits, mechanism)
