/** In-memory implementations of the interfaces of {@code org.carobdoor} that simulate faults. */
@NullMarked
package org.carobdoor.standins.fake;

import org.jspecify.annotations.NullMarked;
