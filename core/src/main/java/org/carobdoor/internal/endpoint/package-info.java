/** The descriptions of endpoints that nodes share. */
@NullMarked
package org.carobdoor.internal.endpoint;

import org.jspecify.annotations.NullMarked;
