/** Tests of endpoint clients. */
@NullMarked
package org.carobdoor.node.endpoint;

import org.jspecify.annotations.NullMarked;
