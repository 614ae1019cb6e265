/** A caller's request as the decisions see it, independent of how it was written on the wire. */
@NullMarked
package org.carobdoor.internal.request;

import org.jspecify.annotations.NullMarked;
