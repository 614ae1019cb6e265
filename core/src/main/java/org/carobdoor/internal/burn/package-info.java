/**
 * Tracks how much of the error budget of each entry has been used, for which causes, and at what
 * cost.
 */
@NullMarked
package org.carobdoor.internal.burn;

import org.jspecify.annotations.NullMarked;
