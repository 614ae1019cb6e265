/** What the platform's store holds and answers, independent of how it is written on the wire. */
@NullMarked
package org.carobdoor.internal.store;

import org.jspecify.annotations.NullMarked;
