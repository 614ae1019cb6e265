/** Tests of the HTTP interfaces of the daemon. */
@NullMarked
package org.carobdoor.node.http;

import org.jspecify.annotations.NullMarked;
