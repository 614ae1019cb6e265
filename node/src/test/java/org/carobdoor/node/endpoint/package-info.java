/** Tests of the clients of endpoints. */
@NullMarked
package org.carobdoor.node.endpoint;

import org.jspecify.annotations.NullMarked;
