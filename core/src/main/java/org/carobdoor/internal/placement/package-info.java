/**
 * Chooses the endpoint of a request by the expected time to the first token for model engines, and
 * by the expected time to the answer for plain services.
 */
@NullMarked
package org.carobdoor.internal.placement;

import org.jspecify.annotations.NullMarked;
