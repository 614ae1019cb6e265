/**
 * Runs accepted work: connects the state machines in {@code org.carobdoor.internal.work} to peers,
 * token sources, and callers.
 */
@NullMarked
package org.carobdoor.node.work;

import org.jspecify.annotations.NullMarked;
