// SPDX-License-Identifier: MIT

/*
Package config maintains the configuration in force at one instance, and commits
changes to the platform.

# In the platform

The table "changes" has one row for each accepted change, with the sequence
number as its key. The row "head" of the table "config" holds the highest
sequence number and that of the latest snapshot, which is an object. A change is
accepted by one transaction that checks and updates the head and writes the
change's row, so two changes can never get the same number.

The versions are a chain, so a change that can't be read is never left out: the last
valid version stays in force until the row can be read, or a snapshot or a peer provides
a later version. Rows whose key is not that of an accepted change are ignored. Both are
reported to Log.OnUnreadable.

# In the process

The sequence number in force only increases. A change is applied if it is the
next one, a snapshot if it is newer, regardless of where it comes from: an
operator's call to this instance, a peer, or the table.
*/
package config
