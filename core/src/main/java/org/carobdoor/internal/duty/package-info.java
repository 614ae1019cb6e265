/**
 * Cluster duties, which one elected node performs for all: the election of the holder, and the
 * usage reports, exactly one for each time window.
 */
@NullMarked
package org.carobdoor.internal.duty;

import org.jspecify.annotations.NullMarked;
