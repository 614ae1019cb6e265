/**
 * Keeps the versioned replica of this node up to date: watches the key-value service, propagates
 * changes to peers, and repairs differences.
 */
@NullMarked
package org.carobdoor.node.replica;

import org.jspecify.annotations.NullMarked;
