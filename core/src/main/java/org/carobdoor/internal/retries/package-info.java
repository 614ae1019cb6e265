/**
 * Decides whether a failed attempt is retried: within a retry budget per catalogue entry, with at
 * most three attempts per request, never past the deadline of the caller, and only if running the
 * request twice is safe.
 */
@NullMarked
package org.carobdoor.internal.retries;

import org.jspecify.annotations.NullMarked;
