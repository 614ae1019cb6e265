/** HTTP clients that send each request at most once. */
@NullMarked
package org.carobdoor.clients.http;

import org.jspecify.annotations.NullMarked;
