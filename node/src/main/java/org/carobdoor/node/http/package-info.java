/** The HTTP interfaces of the daemon, towards callers and operators. */
@NullMarked
package org.carobdoor.node.http;

import org.jspecify.annotations.NullMarked;
