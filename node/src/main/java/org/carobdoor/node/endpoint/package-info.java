/** Clients of endpoints: model engines and plain services. */
@NullMarked
package org.carobdoor.node.endpoint;

import org.jspecify.annotations.NullMarked;
