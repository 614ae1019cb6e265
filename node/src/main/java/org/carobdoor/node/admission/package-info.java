/** Admission control and accounting of requests. */
@NullMarked
package org.carobdoor.node.admission;

import org.jspecify.annotations.NullMarked;
