/** In-memory implementations of the ports of {@code org.carobdoor}, with faults, for tests. */
@NullMarked
package org.carobdoor.standins.fake;

import org.jspecify.annotations.NullMarked;
