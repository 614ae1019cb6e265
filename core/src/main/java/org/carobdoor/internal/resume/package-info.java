/** Decides which software version of a service may continue a stream. */
@NullMarked
package org.carobdoor.internal.resume;

import org.jspecify.annotations.NullMarked;
