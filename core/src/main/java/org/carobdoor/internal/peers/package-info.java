/** Which runs of other nodes exist, which of them are heard, and how often they report. */
@NullMarked
package org.carobdoor.internal.peers;

import org.jspecify.annotations.NullMarked;
