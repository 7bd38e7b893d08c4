"""Durable records on hosts with disks, until the platform's store holds them.

Records are immutable, so they need no owner: any host may write a record, also more
than once. By default two hosts in different data centres sync it to disk and write it
to the store in batches. Afterwards they only cache it in memory for fast reads.
"""
