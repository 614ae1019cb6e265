/**
 * Accepted work: one owner and one copy holder keep each accepted request until its answer has been
 * read or its deadline has passed.
 *
 * <p>An owner releases a token to the caller only after every other node that could still act for
 * the request holds it. A node that changes the owner or the copy holder needs either the consent
 * of those nodes or, when one of them does not answer, the write-once decision of the current term
 * in the platform's key-value service. So two nodes that each believe the other to be dead cannot
 * both continue, and what a caller has read never changes.
 */
@NullMarked
package org.carobdoor.internal.work;

import org.jspecify.annotations.NullMarked;
