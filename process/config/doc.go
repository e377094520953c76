// SPDX-License-Identifier: MIT

/*
Package config keeps the configuration in force at one instance, and takes
changes to the platform.

# In the platform

The table "changes" has one row for each accepted change, its key the sequence
number. The row "head" of the table "config" has the highest sequence number
and that of the latest snapshot, which is an object. A change is accepted by
one transaction that checks and moves the head and writes the change's row, so
two changes can never get the same number.

# In the process

The sequence number in force only rises. A change is taken up when it is the
next one; a snapshot when it is newer. Where a change comes from (an operator's
call here, a peer, the table) makes no difference.
*/
package config
