"""What a process keeps on disk: typed records in a journal with snapshots, checked at every start.

Promises, by mode (`docs/recovery.md` has them with their assumptions):

- `always`: a record whose `append` returned survives a power cut.
- `interval`: one whose `append` returned before the last `sync` that returned does.
- `none`: one whose `append` returned survives the end of the process, however it ends.

In every mode the records that a start finds are a prefix of those that were appended: none is invented,
none is missing in the middle. Nothing that is broken is deleted: it is set aside under a name, with a reason.
"""
