/** Transport between nodes: protobuf messages over Netty, authenticated with a cluster key. */
@NullMarked
package org.carobdoor.wire;

import org.jspecify.annotations.NullMarked;
