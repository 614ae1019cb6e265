/**
 * Decides whether a failed attempt is followed by another: within a budget per catalogue entry, at
 * most three times for a request, never past the deadline of the caller, and only if a second run
 * does no harm.
 */
@NullMarked
package org.carobdoor.internal.retries;

import org.jspecify.annotations.NullMarked;
