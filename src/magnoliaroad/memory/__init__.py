"""How much memory a process holds and for whom, and what it does near its limit."""

from magnoliaroad.memory.holder import MemoryHolder
from magnoliaroad.memory.watch import MemoryWatch

__all__ = ["MemoryHolder", "MemoryWatch"]
