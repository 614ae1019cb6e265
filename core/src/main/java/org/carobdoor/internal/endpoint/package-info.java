/** What nodes know of endpoints. */
@NullMarked
package org.carobdoor.internal.endpoint;

import org.jspecify.annotations.NullMarked;
