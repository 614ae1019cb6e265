/**
 * Replication of accepted requests: one owner and one copy holder store each accepted request until
 * its answer has been read or its deadline has passed.
 *
 * <p>An owner releases a token to the caller only after every other node that could become the
 * owner has stored it. A change of the owner or of the copy holder needs either the consent of
 * those nodes or, when one of them does not answer, the write-once decision of the current term in
 * the platform's key-value service. This prevents two nodes that each consider the other dead from
 * both continuing the request, and text that a caller has read never changes.
 */
@NullMarked
package org.carobdoor.internal.work;

import org.jspecify.annotations.NullMarked;
