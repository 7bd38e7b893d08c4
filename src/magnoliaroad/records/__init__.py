"""Records on hosts with disks, until the platform's store holds them.

A record never changes, so it needs no owner: any host may write it, twice too. Two
hosts in different data centres sync it to disk and write it to the store in batches.
After that they only hold it in memory, for quick reading.
"""
