/** What a client account may use, counted over all nodes without a central counter. */
@NullMarked
package org.carobdoor.internal.quota;

import org.jspecify.annotations.NullMarked;
