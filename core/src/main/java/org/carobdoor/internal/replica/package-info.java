/**
 * The versioned replica of catalogue entries and endpoint records that every node holds.
 *
 * <p>Tombstones are kept for as long as the process runs: one that is dropped on one node would
 * come back from another. At 230 replaced VMs a day and about 150 bytes each, that is 13 MB a year.
 */
@NullMarked
package org.carobdoor.internal.replica;

import org.jspecify.annotations.NullMarked;
