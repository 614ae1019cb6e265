/** Which runs of other nodes exist, and which of them are heard. */
@NullMarked
package org.carobdoor.internal.peers;

import org.jspecify.annotations.NullMarked;
