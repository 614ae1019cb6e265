/**
 * Claims on calls that must not run twice: the codec of the claim logs, the state machine of a
 * log's owner, and the state machine of the claiming node.
 *
 * <p>A call runs at most once because its key is claimed by a single token, and because a claim is
 * granted only once its record is known to be in the key-value service. Writes are ordered only by
 * the version of a log's head; clocks only determine timeouts and when keys expire.
 */
@NullMarked
package org.carobdoor.internal.claims;

import org.jspecify.annotations.NullMarked;
