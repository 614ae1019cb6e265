/**
 * Finds endpoints that fail while they claim to be well, from the outcomes of ordinary requests.
 */
@NullMarked
package org.carobdoor.internal.health;

import org.jspecify.annotations.NullMarked;
