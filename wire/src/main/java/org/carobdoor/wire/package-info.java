/** Transport between nodes: protobuf messages over Netty, authenticated by the cluster key. */
@NullMarked
package org.carobdoor.wire;

import org.jspecify.annotations.NullMarked;
