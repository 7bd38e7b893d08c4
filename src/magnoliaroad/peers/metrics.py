"""Metrics of the connections between hosts."""

from magnoliaroad.metrics import Counter

SENT = Counter("peers_sent_bytes_total", "Bytes sent to peers, by type of message.")
LOST = Counter("peers_lost_links_total", "Connections that were given up, by reason.")
DROPPED = Counter(
    "peers_dropped_frames_total", "Incomplete frames that were dropped for memory."
)
