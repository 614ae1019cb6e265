/**
 * The versioned replica of catalogue entries and endpoint records on every node.
 *
 * <p>Tombstones are kept until the process ends: if one node removed a tombstone, another node
 * would restore it. At 230 replaced VMs a day and about 150 bytes each, that is 13 MB a year.
 */
@NullMarked
package org.carobdoor.internal.replica;

import org.jspecify.annotations.NullMarked;
