/** The HTTP server of the daemon: routes for callers, operators and monitoring. */
@NullMarked
package org.carobdoor.node.http;

import org.jspecify.annotations.NullMarked;
