/**
 * Chooses the endpoint of a request: by expected time to the first token for model engines, by
 * expected time to the answer for plain services.
 */
@NullMarked
package org.carobdoor.internal.placement;

import org.jspecify.annotations.NullMarked;
