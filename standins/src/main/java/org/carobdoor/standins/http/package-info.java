/** The HTTP server that the stand-ins share. */
@NullMarked
package org.carobdoor.standins.http;

import org.jspecify.annotations.NullMarked;
