/**
 * Learns from the answers that all nodes have received how fast each endpoint is and how many
 * concurrent requests it takes well.
 */
@NullMarked
package org.carobdoor.internal.capacity;

import org.jspecify.annotations.NullMarked;
